"""State machine tests of the guarantee that an order is granted to one caller only."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test
from result import Ok

from .. import InProgress, JournalShard, OrderJournal, Outcome, OutcomeUnknown, ShardWriter
from ..operations import AlreadyDone, Begin, EndRecorded, OperationFailed
from ..record import OrderState
from .simulated_cluster import SimulatedCluster

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
    """Callers, faults, and single steps of the store and the network in arbitrary order."""

    cluster_type = SimulatedCluster
    journal_type = OrderJournal
    checks_recovery = True

    def __init__(self):
        super().__init__()
        self.cluster = self.cluster_type(self.journal_type)

    @rule(node=NODES, key=KEYS, digest=st.sampled_from(["d1", "d1", "d1", "d2"]))
    def begin(self, node, key, digest):
        if self.cluster.nodes[node].alive:
            self.cluster.begin(node, key, digest)

    @rule(node=NODES, other=NODES, key=KEYS)
    def begin_doubled(self, node, other, key):
        self.begin(node, key, "d1")
        self.begin(other, key, "d1")

    @precondition(lambda self: self.cluster.granted)
    @rule(index=INDEX, ran=st.booleans())
    def finish(self, index, ran):
        self.cluster.finish(self.cluster.granted[index % len(self.cluster.granted)], ran)

    @precondition(lambda self: self.cluster.begins)
    @rule(index=INDEX)
    def cancel(self, index):
        _, _, task = self.cluster.begins[index % len(self.cluster.begins)]
        task.cancel()
        self.cluster.run_until_idle()

    @precondition(lambda self: self.cluster.calls)
    @rule(index=INDEX, step=st.sampled_from(["answer", "answer", "effect", "lose", "refuse"]))
    def call(self, index, step):
        cluster = self.cluster
        call = cluster.calls[index % len(cluster.calls)]
        match step:
            case "answer":
                cluster.answer(call)
            case "effect":
                cluster.apply_call(call)
            case "lose":
                cluster.answer(call, lost=True)
            case "refuse":
                cluster.refuse(call)

    @rule()
    def run_store(self):
        for call in list(self.cluster.calls):
            self.cluster.answer(call)

    @precondition(lambda self: self.cluster.messages)
    @rule(index=INDEX, step=st.sampled_from(["deliver", "deliver", "refuse"]))
    def message(self, index, step):
        msg = self.cluster.messages[index % len(self.cluster.messages)]
        if step == "deliver":
            self.cluster.deliver(msg)
        elif not msg.fut.done():
            self.cluster.fail(msg, sent=False)

    @precondition(lambda self: self.cluster.messages + self.cluster.delivered)
    @rule(index=INDEX)
    def time_out(self, index):
        sent = self.cluster.messages + self.cluster.delivered
        self.cluster.fail(sent[-1 - index % len(sent)], sent=True)

    @rule(node=NODES, owner=st.sampled_from([None, "n0", "n1", "n2"]))
    def bind_owner(self, node, owner):
        self.cluster.nodes[node].owner = owner

    @rule(node=NODES)
    def kill_or_restart(self, node):
        if self.cluster.nodes[node].alive:
            self.cluster.kill(node)
        else:
            self.cluster.start(node)

    @rule(node=NODES)
    def suspect(self, node):
        self.cluster.suspected ^= {self.cluster.nodes[node].identity.instance}

    @rule(duration_s=st.sampled_from([0.1, 5.0]))
    def wait(self, duration_s):
        self.cluster.advance(duration_s)

    def teardown(self):
        try:
            if self.checks_recovery:
                self.check_recovery()
        finally:
            self.cluster.close()

    def check_recovery(self):
        """Check that every key has a final answer, unless a live node still runs its order."""
        cluster = self.cluster
        cluster.recover()
        assert not cluster.begins, "a begin has no answer"
        for key in ("k1", "k2"):
            answers = []
            for digest in ("d1", "d2"):
                task = cluster.loop.create_task(cluster.nodes["n1"].journal.begin(key, digest))
                cluster.begins.append((cluster.nodes["n1"], key, task))
                cluster.recover()
                answers.append(task.result())
            running = any(item[1] == key and item[0].alive for item in cluster.granted)
            for answer in answers:
                match answer:
                    case Ok(InProgress()):
                        assert running, f"{key} is in progress for ever"
                    case Ok(OutcomeUnknown()):
                        assert key in cluster.orphaned, f"{key} is unknown and its node lives"


class UnconditionalCluster(SimulatedCluster):
    """Cluster whose store ignores the expected version."""

    conditional = False


class RestartingShard(JournalShard):
    """Shard that starts an order again after another instance has started it."""

    def apply(self, operation, wall_s):
        existing = self.find(operation.key)
        dead = (
            existing
            and existing.state is OrderState.STARTED
            and existing.instance != operation.instance
        )
        if isinstance(operation, Begin) and dead:
            self._drop_row(operation.key)
        return super().apply(operation, wall_s)


class AbandonIgnoringShard(JournalShard):
    """Shard that starts abandoned attempts again."""

    def apply(self, operation, wall_s):
        existing = self.find(operation.key)
        if (
            isinstance(operation, Begin)
            and existing
            and operation.attempt in existing.abandoned_attempts
        ):
            self._drop_row(operation.key)
        return super().apply(operation, wall_s)


class OutcomeDroppingShard(JournalShard):
    """Shard that drops the outcome of an attempt that is missing from its cached content."""

    def _complete(self, op, existing, written_s):
        if existing is not None and existing.attempt != op.attempt:
            return EndRecorded(), False
        return super()._complete(op, existing, written_s)


class BodilessShard(JournalShard):
    """Shard that replays an outcome without its body."""

    def _begin(self, op, existing, written_s):
        answer, changed = super()._begin(op, existing, written_s)
        return (
            AlreadyDone(Outcome(answer.outcome.status))
            if isinstance(answer, AlreadyDone)
            else answer
        ), changed


class SilentWriter(ShardWriter):
    """Writer that does not answer failed operations."""

    def _answer(self, pending, answer):
        if not isinstance(answer, OperationFailed):
            super()._answer(pending, answer)


class EagerWriter(ShardWriter):
    """Writer that answers before the write is confirmed."""

    def next_call(self, now, wall_s):
        call = super().next_call(now, wall_s)
        batch, self._batch = self._batch, []
        for pending, answer in batch:
            self._answer(pending, answer)
        return call


class OptimisticWriter(ShardWriter):
    """Writer that treats a write whose answer was lost as one that failed."""

    def _answer(self, pending, answer):
        pending.uncertain_version = None
        super()._answer(pending, answer)


def make_machine(
    *, cluster=SimulatedCluster, shard=JournalShard, writer=ShardWriter, checks_recovery=True
):
    """Return the state machine class with some components replaced by faulty ones."""
    writer_type = type("Writer", (writer,), {"shard_type": shard})
    journal = type("Journal", (OrderJournal,), {"writer_type": writer_type})
    changes = {"cluster_type": cluster, "journal_type": journal, "checks_recovery": checks_recovery}
    return type("Machine", (JournalMachine,), changes)


class AtMostOnceTest(unittest.TestCase):
    """Tests of the unmodified journal."""

    def test_one_caller_is_granted_whatever_fails(self):
        """Guards against an order that runs twice, replays another outcome or never ends."""
        run_state_machine_as_test(JournalMachine, settings=BOUNDS)


def lose_answer_then_refuse_read(machine):
    """Let a write take effect, lose its answer, and let the store fail before the read-back."""
    cluster = machine.cluster
    cluster.begin("n1", "k1", "d1")
    cluster.answer(cluster.calls[0])
    cluster.apply_call(cluster.calls[0])
    cluster.answer(cluster.calls[0], lost=True)
    cluster.refuse(cluster.calls[0])


def complete_through_a_stale_owner(machine):
    """Complete an attempt through an owner whose cached content has only the attempt before it."""
    cluster, node = machine.cluster, machine.cluster.nodes["n1"]
    for owner, ran in (("n0", False), (None, True)):
        node.owner = owner
        cluster.begin("n1", "k1", "d1")
        cluster.run()
        node.owner = "n0"
        cluster.finish(cluster.granted[0], ran)
        cluster.run()


def deliver_after_the_attempt_was_abandoned(machine):
    """Deliver a begin to the owner after its sender was refused and has abandoned the attempt."""
    cluster = machine.cluster
    cluster.nodes["n1"].owner = "n0"
    cluster.begin("n1", "k1", "d1")
    late = cluster.messages[0]
    cluster.fail(late, sent=True)
    cluster.refuse(cluster.calls[0])
    cluster.nodes["n1"].owner = None
    cluster.messages.remove(late)
    for msg in tuple(cluster.messages):
        cluster.fail(msg, sent=False)
    cluster.run()
    cluster.messages.append(late)


class BrokenJournalTest(unittest.TestCase):
    """Tests with one faulty component each; guards against invariant checks that never fail."""

    def search(self, **broken):
        phases = (Phase.generate,)
        more = settings(BOUNDS, max_examples=2000, phases=phases, report_multiple_bugs=False)
        with self.assertRaises(AssertionError) as caught:
            run_state_machine_as_test(make_machine(checks_recovery=False, **broken), settings=more)
        return str(caught.exception)

    def test_unconditional_writes_grant_twice(self):
        self.assertIn("may both run", self.search(cluster=UnconditionalCluster))

    def test_answers_before_the_write_grant_twice(self):
        self.assertIn("may both run", self.search(writer=EagerWriter))

    def test_orders_of_dead_instances_run_again(self):
        self.assertIn("may both run", self.search(shard=RestartingShard))

    def test_changed_outcomes_are_detected(self):
        self.assertIn("replays another outcome", self.search(shard=BodilessShard))

    def run_scenario(self, scenario, **broken):
        machine = make_machine(**broken)()
        self.addCleanup(machine.cluster.close)
        scenario(machine)
        machine.check_recovery()

    def check_scenario(self, scenario, text="in progress for ever", **broken):
        """Check that the scenario passes on the unmodified journal and fails on the faulty one."""
        self.run_scenario(scenario)
        with self.assertRaisesRegex(AssertionError, text):
            self.run_scenario(scenario, **broken)

    def test_restarted_abandoned_attempts_block_their_key(self):
        self.check_scenario(deliver_after_the_attempt_was_abandoned, shard=AbandonIgnoringShard)

    def test_missing_answers_are_detected(self):
        text = "a begin has no answer"
        self.check_scenario(lose_answer_then_refuse_read, text, writer=SilentWriter)

    def test_lost_answers_treated_as_failures_block_their_key(self):
        self.check_scenario(lose_answer_then_refuse_read, writer=OptimisticWriter)

    def test_outcomes_dropped_on_stale_content_block_their_key(self):
        self.check_scenario(complete_through_a_stale_owner, shard=OutcomeDroppingShard)
