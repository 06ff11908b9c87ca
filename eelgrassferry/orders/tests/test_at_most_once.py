"""State machine test: an order is granted to one caller in the whole system."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test
from result import Ok

from .. import InProgress, JournalShard, OrderJournal, Outcome, OutcomeUnknown, ShardWriter
from ..operations import Begin, Known, NotWritten, Settled
from ..record import OrderState
from .world import World

NODES = st.sampled_from(["n0", "n1", "n2"])
KEYS = st.sampled_from(["k1", "k2"])
INDEX = st.integers(0, 5)

BOUNDS = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class JournalMachine(RuleBasedStateMachine):
    """Callers, faults and single steps of the store and the network, in any order."""

    world_type = World
    journal_type = OrderJournal
    heals = True

    def __init__(self):
        super().__init__()
        self.world = self.world_type(self.journal_type)

    @rule(node=NODES, key=KEYS, digest=st.sampled_from(["d1", "d1", "d1", "d2"]))
    def begin(self, node, key, digest):
        if self.world.nodes[node].alive:
            self.world.begin(node, key, digest)

    @rule(node=NODES, other=NODES, key=KEYS)
    def begin_doubled(self, node, other, key):
        self.begin(node, key, "d1")
        self.begin(other, key, "d1")

    @precondition(lambda self: self.world.fresh)
    @rule(index=INDEX, ran=st.booleans())
    def finish(self, index, ran):
        self.world.finish(self.world.fresh[index % len(self.world.fresh)], ran)

    @precondition(lambda self: self.world.begins)
    @rule(index=INDEX)
    def cancel(self, index):
        _, _, task = self.world.begins[index % len(self.world.begins)]
        task.cancel()
        self.world.settle()

    @precondition(lambda self: self.world.calls)
    @rule(index=INDEX, step=st.sampled_from(["answer", "answer", "effect", "lose", "refuse"]))
    def call(self, index, step):
        world = self.world
        call = world.calls[index % len(world.calls)]
        match step:
            case "answer":
                world.answer(call)
            case "effect":
                world.take_effect(call)
            case "lose":
                world.answer(call, lost=True)
            case "refuse":
                world.refuse(call)

    @rule()
    def run_store(self):
        for call in list(self.world.calls):
            self.world.answer(call)

    @precondition(lambda self: self.world.messages)
    @rule(index=INDEX, step=st.sampled_from(["deliver", "deliver", "refuse"]))
    def message(self, index, step):
        msg = self.world.messages[index % len(self.world.messages)]
        if step == "deliver":
            self.world.deliver(msg)
        elif not msg.fut.done():
            self.world.fail(msg, sent=False)

    @precondition(lambda self: self.world.messages + self.world.delivered)
    @rule(index=INDEX)
    def time_out(self, index):
        sent = self.world.messages + self.world.delivered
        self.world.fail(sent[-1 - index % len(sent)], sent=True)

    @rule(node=NODES, owner=st.sampled_from([None, "n0", "n1", "n2"]))
    def believe(self, node, owner):
        self.world.nodes[node].owner = owner

    @rule(node=NODES)
    def kill_or_restart(self, node):
        if self.world.nodes[node].alive:
            self.world.kill(node)
        else:
            self.world.start(node)

    @rule(node=NODES)
    def suspect(self, node):
        self.world.suspected ^= {self.world.nodes[node].identity.instance}

    @rule(duration_s=st.sampled_from([0.1, 5.0]))
    def wait(self, duration_s):
        self.world.advance(duration_s)

    def teardown(self):
        try:
            if self.heals:
                self.check_after_healing()
        finally:
            self.world.close()

    def check_after_healing(self):
        """After the faults, every key has a final answer unless a live node still runs it."""
        world = self.world
        world.heal()
        assert not world.begins, "a begin has no answer"
        for key in ("k1", "k2"):
            answers = []
            for digest in ("d1", "d2"):
                task = world.loop.create_task(world.nodes["n1"].journal.begin(key, digest))
                world.begins.append((world.nodes["n1"], key, task))
                world.heal()
                answers.append(task.result())
            running = any(item[1] == key and item[0].alive for item in world.fresh)
            for answer in answers:
                match answer:
                    case Ok(InProgress()):
                        assert running, f"{key} is in progress for ever"
                    case Ok(OutcomeUnknown()):
                        assert key in world.orphaned, f"{key} is unknown and its node lives"


class UnconditionalWorld(World):
    """A store that ignores the expected version."""

    conditional = False


class RevivingShard(JournalShard):
    """Starts an order again that another instance has started."""

    def apply(self, operation, wall_s):
        held = self.find(operation.key)
        dead = held and held.state is OrderState.STARTED and held.instance != operation.instance
        if isinstance(operation, Begin) and dead:
            self._drop_row(operation.key)
        return super().apply(operation, wall_s)


class ForgettingShard(JournalShard):
    """Ignores that an attempt was given up."""

    def apply(self, operation, wall_s):
        held = self.find(operation.key)
        if isinstance(operation, Begin) and held and operation.attempt in held.closed:
            self._drop_row(operation.key)
        return super().apply(operation, wall_s)


class StaleEndShard(JournalShard):
    """Drops the outcome of an attempt that the cached content does not know."""

    def _complete(self, op, held, second):
        if held is not None and held.attempt != op.attempt:
            return Settled(), False
        return super()._complete(op, held, second)


class BodilessShard(JournalShard):
    """Replays an outcome without its body."""

    def _begin(self, op, held, second):
        answer, changed = super()._begin(op, held, second)
        return (
            Known(Outcome(answer.outcome.status)) if isinstance(answer, Known) else answer
        ), changed


class SilentWriter(ShardWriter):
    """Never answers an operation that was not written."""

    def _answer(self, waiting, answer):
        if not isinstance(answer, NotWritten):
            super()._answer(waiting, answer)


class EagerWriter(ShardWriter):
    """Answers before the write is known to have taken effect."""

    def next_call(self, now, wall_s):
        call = super().next_call(now, wall_s)
        riding, self._riding = self._riding, []
        for waiting, answer in riding:
            self._answer(waiting, answer)
        return call


class OptimisticWriter(ShardWriter):
    """Takes a lost answer for a failed write and forgets the attempt."""

    def _answer(self, waiting, answer):
        waiting.uncertain_at = None
        super()._answer(waiting, answer)


def make_machine(*, world=World, shard=JournalShard, writer=ShardWriter, heals=True):
    """Return the state machine with some protections replaced."""
    writer_type = type("Writer", (writer,), {"shard_type": shard})
    journal = type("Journal", (OrderJournal,), {"writer_type": writer_type})
    changes = {"world_type": world, "journal_type": journal, "heals": heals}
    return type("Machine", (JournalMachine,), changes)


class AtMostOnceTest(unittest.TestCase):
    """The journal as it is."""

    def test_one_caller_is_granted_whatever_fails(self):
        """Guards against an order that runs twice, replays wrongly, or stays in progress."""
        run_state_machine_as_test(JournalMachine, settings=BOUNDS)


def lose_the_answer_and_the_store(machine):
    """A write takes effect, its answer is lost, and the store fails before the read-back."""
    world = machine.world
    world.begin("n1", "k1", "d1")
    world.answer(world.calls[0])
    world.take_effect(world.calls[0])
    world.answer(world.calls[0], lost=True)
    world.refuse(world.calls[0])


def complete_through_a_stale_owner(machine):
    """The owner last saw the attempt before the one that it is told the outcome of."""
    world, node = machine.world, machine.world.nodes["n1"]
    for owner, ran in (("n0", False), (None, True)):
        node.owner = owner
        world.begin("n1", "k1", "d1")
        world.run()
        node.owner = "n0"
        world.finish(world.fresh[0], ran)
        world.run()


def deliver_after_the_attempt_was_given_up(machine):
    """The owner gets a begin after its sender was refused and has closed the attempt."""
    world = machine.world
    world.nodes["n1"].owner = "n0"
    world.begin("n1", "k1", "d1")
    late = world.messages[0]
    world.fail(late, sent=True)
    world.refuse(world.calls[0])
    world.nodes["n1"].owner = None
    world.messages.remove(late)
    for msg in tuple(world.messages):
        world.fail(msg, sent=False)
    world.run()
    world.messages.append(late)


class BrokenJournalTest(unittest.TestCase):
    """Each protection turned off; guards against invariant checks that cannot fail."""

    def search(self, **broken):
        phases = (Phase.generate,)
        more = settings(BOUNDS, max_examples=2000, phases=phases, report_multiple_bugs=False)
        with self.assertRaises(AssertionError) as caught:
            run_state_machine_as_test(make_machine(heals=False, **broken), settings=more)
        return str(caught.exception)

    def test_unconditional_writes_grant_twice(self):
        self.assertIn("may both run", self.search(world=UnconditionalWorld))

    def test_answers_before_the_write_grant_twice(self):
        self.assertIn("may both run", self.search(writer=EagerWriter))

    def test_orders_of_dead_instances_run_again(self):
        self.assertIn("may both run", self.search(shard=RevivingShard))

    def test_changed_outcomes_are_noticed(self):
        self.assertIn("replays another outcome", self.search(shard=BodilessShard))

    def run_scenario(self, scenario, **broken):
        machine = make_machine(**broken)()
        self.addCleanup(machine.world.close)
        scenario(machine)
        machine.check_after_healing()

    def check_scenario(self, scenario, text="in progress for ever", **broken):
        """The scenario passes as it is, and fails without the protection."""
        self.run_scenario(scenario)
        with self.assertRaisesRegex(AssertionError, text):
            self.run_scenario(scenario, **broken)

    def test_forgotten_attempts_block_their_key(self):
        self.check_scenario(deliver_after_the_attempt_was_given_up, shard=ForgettingShard)

    def test_missing_answers_are_noticed(self):
        text = "a begin has no answer"
        self.check_scenario(lose_the_answer_and_the_store, text, writer=SilentWriter)

    def test_lost_answers_taken_for_failures_block_their_key(self):
        self.check_scenario(lose_the_answer_and_the_store, writer=OptimisticWriter)

    def test_ends_dropped_on_stale_content_block_their_key(self):
        self.check_scenario(complete_through_a_stale_owner, shard=StaleEndShard)
