"""State machine test of lease, reservations and an engine, under faults in any combination."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from ...leases import LeaseMachine
from .. import MemoryLedger, OrderKind
from .control_world import ITEMS, ControlWorld

PROCESSES = st.integers(0, 2)
MODES = st.sampled_from(["ok"] * 6 + ["lost", "dropped", "late", "down"])


class ControlFaults(RuleBasedStateMachine):
    """Three processes work, pause, wake and die; orders are lost, late and doubled."""

    ledger_class = MemoryLedger
    machine_class = LeaseMachine

    @initialize(checks_fence=st.booleans())
    def begin(self, checks_fence):
        self.world = ControlWorld(checks_fence, self.ledger_class, self.machine_class)
        self.orders = 0
        self.world.advance(1.0)

    def pick(self, number):
        return self.world.processes[number]

    def holder(self):
        """Return the process that acts as the holder, or None."""
        world = self.world
        found = (p for p in world.processes if not p.paused and p.machine.term(world.now))
        return next(found, None)

    @rule(
        name=st.sampled_from(sorted(ITEMS)),
        mode=MODES,
        sending=st.sampled_from(["send", "send", "arm", "wait"]),
    )
    def load(self, name, mode, sending):
        process = self.holder()
        if process is None:
            return
        self.world.learn(process)
        present = any(item.name == name for item in self.world.engine.residents)
        if not present:
            self.order(process, OrderKind.LOAD_MODEL, name)
        self.world.record(process, mode)
        if sending != "wait":
            self.world.send(process, arm=sending == "arm")

    @rule(name=st.sampled_from(sorted(ITEMS)), mode=MODES)
    def unload(self, name, mode):
        process = self.holder()
        if process is None:
            return
        self.world.learn(process)
        if any(item.name == name for item in self.world.engine.residents):
            self.order(process, OrderKind.UNLOAD_MODEL, name)
        self.world.record(process, mode)
        self.world.send(process)

    def order(self, process, kind, name):
        self.orders += 1
        process.ledger.reserve(kind, name, "1", ITEMS[name], f"{process.name}-{self.orders}")

    @rule(
        duration_s=st.sampled_from([0.5, 1.0, 2.5, 5.0, 12.0]), renew=st.sampled_from([1, 1, 1, 0])
    )
    def advance(self, duration_s, renew):
        self.world.advance(duration_s, bool(renew))

    @rule(number=PROCESSES, mode=MODES)
    def step_lease(self, number, mode):
        if not self.pick(number).paused:
            self.world.step_lease(self.pick(number), mode)

    @rule(name=st.sampled_from(sorted(ITEMS)))
    def pause_before_sending(self, name):
        """The holder stops between its check and its send until another holds the lease."""
        process = self.holder()
        if process is None:
            return
        self.load(name, "ok", "arm")
        process.paused = True
        self.world.advance(12.0)
        self.world.advance(12.0)

    @rule(
        number=PROCESSES,
        fault=st.sampled_from(["pause", "wake", "wake", "wake", "kill", "restart engine"]),
    )
    def disturb(self, number, fault):
        process = self.pick(number)
        match fault:
            case "pause":
                process.paused = True
            case "wake":
                # The one that still has something to send, if there is one.
                armed = (p for p in self.world.processes if p.armed)
                self.world.wake(next(armed, process))
            case "kill":
                self.world.kill(process)
            case "restart engine":
                self.world.engine.restart()

    @rule(number=st.integers(0, 9), action=st.sampled_from(["deliver", "double", "lose"]))
    def network(self, number, action):
        flights = self.world.flights
        if not flights:
            return
        flight = flights[number % len(flights)]
        if action != "double":
            flights.remove(flight)
        if action != "lose":
            self.world.engine.receive(flight.order, self.world.now)

    @rule(event=st.sampled_from(["late write", "hold status", "release status", "list hosts"]))
    def delay(self, event):
        """Let a write arrive late, hold a status back or release it, or read the host list."""
        world, holder = self.world, self.holder()
        match event:
            case "late write" if world.late_writes:
                world.apply(*world.late_writes.pop(0))
            case "hold status" if holder is not None:
                world.held_statuses.append((holder, world.engine.status(world.now), world.now))
            case "release status" if world.held_statuses:
                process, status, read_at = world.held_statuses.pop(0)
                process.ledger.on_status(status, read_at, world.now)
            case "list hosts":
                for process in world.processes:
                    if not process.paused:
                        process.ledger.on_gone(world.dead, world.now)

    @invariant()
    def holds(self):
        if hasattr(self, "world"):
            self.world.check()


class AfterTakeover(ControlFaults):
    """Starts with a holder that paused between its check and its send, and a successor."""

    @initialize(checks_fence=st.booleans(), name=st.sampled_from(sorted(ITEMS)))
    def begin(self, checks_fence, name):
        super().begin(checks_fence)
        self.pause_before_sending(name)


def make_settings(examples: int, *phases: Phase) -> settings:
    """Return settings under which every run takes the same decisions."""
    return settings(
        max_examples=examples,
        stateful_step_count=80,
        derandomize=True,
        deadline=None,
        database=None,
        phases=phases or (Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )


class ForgetfulLedger(MemoryLedger):
    """Does not count unsettled reservations."""

    def _count_used(self):
        return sum(r.memory_mib for r in self.draft.residents) if self.draft else 0


class HastyLedger(MemoryLedger):
    """Settles a reservation by any status that does not show its order."""

    def _may_settle(self, reservation):
        return True


class UnfencedLedger(MemoryLedger):
    """Settles another process's reservation after the transit time alone."""

    def _may_settle(self, reservation):
        if reservation.writer == self.instance:
            return super()._may_settle(reservation)
        seen_s = self._seen_s.get(reservation.order_id, float("inf"))
        return self.status_read_s >= max(self._term.started_s, seen_s) + self.transit_s


class ImpatientLedger(MemoryLedger):
    """Frees a resident at once when a status no longer shows it."""

    def _is_quiet(self, item):
        return True


class EndlessLease(LeaseMachine):
    """Takes its term for valid for ever."""

    def term(self, now):
        return self._state.term


class RepeatedEpochLease(LeaseMachine):
    """Takes over without a new epoch."""

    def _write(self, now, released=False):
        self._highest_epoch = 0
        return super()._write(now, released)


class ControlFaultsTest(unittest.TestCase):
    """The invariants hold, and each check finds the machine that breaks it."""

    def test_invariants_hold(self):
        """Guards against overcommitted memory, two holders, and epochs that shrink."""
        run_machine(ControlFaults, settings=make_settings(120))

    def test_invariants_hold_after_a_takeover(self):
        """Guards against overcommitted memory when the paused holder wakes up and sends."""
        run_machine(AfterTakeover, settings=make_settings(80))

    def find_violation(self, message, **broken):
        machine = type("Broken", (ControlFaults,), broken)
        with self.assertRaisesRegex(AssertionError, message):
            run_machine(machine, settings=make_settings(2000, Phase.generate))

    def test_finds_uncounted_reservations(self):
        """Guards against a memory check that cannot fail."""
        self.find_violation("overcommitted", ledger_class=ForgetfulLedger)

    def test_finds_hasty_settlement(self):
        """Guards against a memory check that misses late orders."""
        self.find_violation("overcommitted", ledger_class=HastyLedger)

    def restart_before_a_double(self, ledger_class):
        """Let an engine restart and then get a second copy of an order that it had obeyed."""
        machine = type("Fixed", (ControlFaults,), {"ledger_class": ledger_class})()
        machine.begin(checks_fence=False)
        machine.load("a", "ok", "send")
        machine.network(0, "double")
        machine.advance(2.5, True)
        machine.load("d", "ok", "wait")
        machine.world.engine.restart()
        machine.load("b", "ok", "send")
        machine.advance(12.0, True)

    def test_finds_memory_freed_before_a_double_arrives(self):
        """Guards against counting a restarted engine as empty while a doubled order is on its way.

        The steps are fixed, because 600 random examples did not contain them.
        """
        self.restart_before_a_double(MemoryLedger)
        with self.assertRaisesRegex(AssertionError, "overcommitted"):
            self.restart_before_a_double(ImpatientLedger)

    def wake_late(self, ledger_class):
        """Let a holder wake up and send long after its successor began to use the memory."""
        machine = type("Fixed", (ControlFaults,), {"ledger_class": ledger_class})()
        machine.begin(checks_fence=False)
        machine.pause_before_sending("a")
        for name in ("d", "b", "b"):
            machine.load(name, "ok", "send")
            machine.advance(12.0, True)
        paused = next(i for i, p in enumerate(machine.world.processes) if p.armed)
        machine.disturb(paused, "wake")
        machine.advance(12.0, True)

    def test_finds_settlement_without_fence(self):
        """Guards against a memory check that misses a paused holder that wakes up and sends.

        The steps are fixed, because 2000 random examples did not reliably contain them.
        """
        self.wake_late(MemoryLedger)
        with self.assertRaisesRegex(AssertionError, "overcommitted"):
            self.wake_late(UnfencedLedger)

    def test_finds_endless_term(self):
        """Guards against a holder check that cannot fail."""
        self.find_violation("two processes hold", machine_class=EndlessLease)

    def test_finds_repeated_epoch(self):
        """Guards against an epoch check that cannot fail."""
        self.find_violation("same epoch|became smaller", machine_class=RepeatedEpochLease)
