"""Stateful test of lease, reservations and engine under random combinations of faults.

Hypothesis orders the rules by name, so renaming a rule changes the generated examples.
"""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from ...leases import LeaseMachine
from .. import MemoryLedger, OrderKind
from .fault_simulation import ITEMS, FaultSimulation

PROCESSES = st.integers(0, 2)
MODES = st.sampled_from(["ok"] * 6 + ["lost", "dropped", "late", "down"])


class ControlFaults(RuleBasedStateMachine):
    """Three processes that run, pause, resume and end while orders are lost, late or duplicated."""

    ledger_class = MemoryLedger
    machine_class = LeaseMachine

    @initialize(checks_fence=st.booleans())
    def begin(self, checks_fence):
        self.simulation = FaultSimulation(checks_fence, self.ledger_class, self.machine_class)
        self.orders = 0
        self.simulation.advance(1.0)

    def pick(self, number):
        return self.simulation.processes[number]

    def holder(self):
        """Return the running process that holds the lease, or None."""
        simulation = self.simulation
        found = (p for p in simulation.processes if not p.paused and p.machine.term(simulation.now))
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
        self.simulation.read_state(process)
        present = any(item.name == name for item in self.simulation.engine.residents)
        if not present:
            self.order(process, OrderKind.LOAD_MODEL, name)
        self.simulation.write_record(process, mode)
        if sending != "wait":
            self.simulation.send(process, arm=sending == "arm")

    @rule(name=st.sampled_from(sorted(ITEMS)), mode=MODES)
    def unload(self, name, mode):
        process = self.holder()
        if process is None:
            return
        self.simulation.read_state(process)
        if any(item.name == name for item in self.simulation.engine.residents):
            self.order(process, OrderKind.UNLOAD_MODEL, name)
        self.simulation.write_record(process, mode)
        self.simulation.send(process)

    def order(self, process, kind, name):
        self.orders += 1
        process.ledger.reserve(kind, name, "1", ITEMS[name], f"{process.name}-{self.orders}")

    @rule(
        duration_s=st.sampled_from([0.5, 1.0, 2.5, 5.0, 12.0]), renew=st.sampled_from([1, 1, 1, 0])
    )
    def advance(self, duration_s, renew):
        self.simulation.advance(duration_s, bool(renew))

    @rule(number=PROCESSES, mode=MODES)
    def step_lease(self, number, mode):
        if not self.pick(number).paused:
            self.simulation.step_lease(self.pick(number), mode)

    @rule(name=st.sampled_from(sorted(ITEMS)))
    def pause_before_sending(self, name):
        """Pause the holder between its check and its send until another process holds the lease."""
        process = self.holder()
        if process is None:
            return
        self.load(name, "ok", "arm")
        process.paused = True
        self.simulation.advance(12.0)
        self.simulation.advance(12.0)

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
                # Prefer a process that was paused before it sent an order.
                paused_senders = (p for p in self.simulation.processes if p.checked_order)
                self.simulation.wake(next(paused_senders, process))
            case "kill":
                self.simulation.kill(process)
            case "restart engine":
                self.simulation.engine.restart()

    @rule(number=st.integers(0, 9), action=st.sampled_from(["deliver", "double", "lose"]))
    def network(self, number, action):
        in_flight_orders = self.simulation.in_flight_orders
        if not in_flight_orders:
            return
        in_flight = in_flight_orders[number % len(in_flight_orders)]
        if action != "double":
            in_flight_orders.remove(in_flight)
        if action != "lose":
            self.simulation.engine.receive(in_flight.order, self.simulation.now)

    @rule(event=st.sampled_from(["late write", "hold status", "release status", "list hosts"]))
    def delay(self, event):
        """Apply a late write, delay or deliver a status, or read the host list."""
        simulation, holder = self.simulation, self.holder()
        match event:
            case "late write" if simulation.late_writes:
                simulation.apply(*simulation.late_writes.pop(0))
            case "hold status" if holder is not None:
                simulation.delayed_statuses.append(
                    (holder, simulation.engine.status(simulation.now), simulation.now)
                )
            case "release status" if simulation.delayed_statuses:
                process, status, read_at = simulation.delayed_statuses.pop(0)
                process.ledger.on_status(status, read_at, simulation.now)
            case "list hosts":
                for process in simulation.processes:
                    if not process.paused:
                        process.ledger.on_writers_stopped(simulation.dead, simulation.now)

    @invariant()
    def holds(self):
        if hasattr(self, "simulation"):
            self.simulation.check()


class AfterTakeover(ControlFaults):
    """Runs that start with a successor and a holder paused between its check and its send."""

    @initialize(checks_fence=st.booleans(), name=st.sampled_from(sorted(ITEMS)))
    def begin(self, checks_fence, name):
        super().begin(checks_fence)
        self.pause_before_sending(name)


def make_settings(examples: int, *phases: Phase) -> settings:
    """Return settings that generate the same examples in every run."""
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
    """Faulty ledger that does not count outstanding reservations."""

    def _count_used(self):
        return sum(r.memory_mib for r in self.draft.residents) if self.draft else 0


class HastyLedger(MemoryLedger):
    """Faulty ledger that resolves a reservation by any status that does not contain its order."""

    def _order_cannot_arrive(self, reservation):
        return True


class UnfencedLedger(MemoryLedger):
    """Faulty ledger that resolves foreign reservations after the transit time, without a fence."""

    def _order_cannot_arrive(self, reservation):
        if reservation.writer == self.instance:
            return super()._order_cannot_arrive(reservation)
        first_seen_s = self._first_seen_s.get(reservation.order_id, float("inf"))
        return self.status_read_s >= max(self._term.started_s, first_seen_s) + self.transit_s


class ImpatientLedger(MemoryLedger):
    """Faulty ledger that removes a resident as soon as a status does not contain it."""

    def _load_cannot_arrive(self, item):
        return True


class EndlessLease(LeaseMachine):
    """Faulty lease machine whose term never expires."""

    def term(self, now):
        return self._state.term


class RepeatedEpochLease(LeaseMachine):
    """Faulty lease machine that takes over without a new epoch."""

    def _write(self, now, released=False):
        self._highest_epoch = 0
        return super()._write(now, released)


class ControlFaultsTest(unittest.TestCase):
    """Invariants under faults, and detection of faulty implementations by each check."""

    def test_invariants_hold(self):
        """Guards against overcommitted memory, two lease holders and decreasing epochs."""
        run_machine(ControlFaults, settings=make_settings(120))

    def test_invariants_hold_after_a_takeover(self):
        """Guards against overcommitted memory when a paused holder resumes and sends its order."""
        run_machine(AfterTakeover, settings=make_settings(80))

    def find_violation(self, message, **broken):
        machine = type("Broken", (ControlFaults,), broken)
        with self.assertRaisesRegex(AssertionError, message):
            run_machine(machine, settings=make_settings(2000, Phase.generate))

    def test_finds_uncounted_reservations(self):
        """Guards against a memory check that cannot fail."""
        self.find_violation("overcommitted", ledger_class=ForgetfulLedger)

    def test_finds_hasty_settlement(self):
        """Guards against a memory check that does not detect late orders."""
        self.find_violation("overcommitted", ledger_class=HastyLedger)

    def restart_before_a_double(self, ledger_class):
        """Restart an engine that then receives a duplicate of an order it had carried out."""
        machine = type("Fixed", (ControlFaults,), {"ledger_class": ledger_class})()
        machine.begin(checks_fence=False)
        machine.load("a", "ok", "send")
        machine.network(0, "double")
        machine.advance(2.5, True)
        machine.load("d", "ok", "wait")
        machine.simulation.engine.restart()
        machine.load("b", "ok", "send")
        machine.advance(12.0, True)

    def test_finds_memory_freed_before_a_double_arrives(self):
        """Guards against freeing a restarted engine's memory while a duplicate order can arrive.

        The steps are fixed because 600 random examples did not contain them.
        """
        self.restart_before_a_double(MemoryLedger)
        with self.assertRaisesRegex(AssertionError, "overcommitted"):
            self.restart_before_a_double(ImpatientLedger)

    def wake_late(self, ledger_class):
        """Resume a holder, which then sends long after its successor began to use the memory."""
        machine = type("Fixed", (ControlFaults,), {"ledger_class": ledger_class})()
        machine.begin(checks_fence=False)
        machine.pause_before_sending("a")
        for name in ("d", "b", "b"):
            machine.load(name, "ok", "send")
            machine.advance(12.0, True)
        paused = next(i for i, p in enumerate(machine.simulation.processes) if p.checked_order)
        machine.disturb(paused, "wake")
        machine.advance(12.0, True)

    def test_finds_settlement_without_fence(self):
        """Guards against a memory check that does not detect the late order of a paused holder.

        The steps are fixed because 2000 random examples did not reliably contain them.
        """
        self.wake_late(MemoryLedger)
        with self.assertRaisesRegex(AssertionError, "overcommitted"):
            self.wake_late(UnfencedLedger)

    def test_finds_endless_term(self):
        """Guards against a lease holder check that cannot fail."""
        self.find_violation("two processes hold", machine_class=EndlessLease)

    def test_finds_repeated_epoch(self):
        """Guards against an epoch check that cannot fail."""
        self.find_violation("same epoch|became smaller", machine_class=RepeatedEpochLease)
