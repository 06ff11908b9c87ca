"""Tests of taking over a lease before it expires."""

import unittest
from typing import Any

from result import Ok

from ...objects import StoredObject
from .. import LeaseMachine, LeaseRecord, ReadLease, WriteLease

DURATION_S = 4.5


def make_machine(instance: str = "n2:y", **options: Any) -> LeaseMachine:
    """Return a candidate with the same kind of timing as the coordinator's lease."""
    return LeaseMachine(
        "a",
        instance,
        duration_s=DURATION_S,
        stop_early_s=3.4,
        renew_s=0.4,
        one_per_host=True,
        takeover_factor=1.02,
        **options,
    )


def held_by(holder: str, version: int = 3) -> StoredObject:
    """Return the lease object as written by another holder."""
    value = LeaseRecord(holder, 7, DURATION_S, f"{holder}/1").encode()
    return StoredObject("leases/a", version, value)


class HandoverTest(unittest.TestCase):
    """Takeover of a lease that is held by n1:x."""

    def wait_for_write(self, machine: LeaseMachine, now: float, holder: str = "n1:x") -> float:
        """Let the candidate read an unchanged lease until it writes; return the write's time."""
        while True:
            for action in machine.tick(now):
                if isinstance(action, WriteLease):
                    return now
                self.assertIsInstance(action, ReadLease)
                machine.on_read(Ok(held_by(holder)), now)
            now += 0.05

    def test_unchanged_lease_is_taken_after_its_duration(self):
        """Guards against a takeover while orders of the previous holder may be in transit."""
        waited_s = self.wait_for_write(make_machine(), 10.0) - 10.0
        self.assertGreaterEqual(waited_s, DURATION_S)
        self.assertLess(waited_s, DURATION_S * 1.02 + 0.5)

    def test_wait_starts_when_the_version_was_reported(self):
        """Guards against waiting the whole duration from the candidate's first read, although the
        version was reported earlier by a holder that has since frozen.
        """
        machine = make_machine()
        machine.record_version(3, 8.0)
        self.assertLess(self.wait_for_write(machine, 10.0), 8.0 + DURATION_S * 1.02 + 0.5)

    def test_report_of_another_version_is_ignored(self):
        """Guards against an early takeover after a renewal that was not reported."""
        machine = make_machine()
        machine.record_version(2, 1.0)
        self.assertGreaterEqual(self.wait_for_write(machine, 10.0) - 10.0, DURATION_S)

    def test_lease_of_ended_holder_is_taken_at_once(self):
        """Guards against waiting for the lease of a holder that has resigned to expire."""
        machine = make_machine()
        machine.tick(10.0)
        machine.on_read(Ok(held_by("n1:x")), 10.0)
        machine.on_holder_ended("n1:x", 10.1)
        self.assertLess(self.wait_for_write(machine, 10.1), 10.3)

    def test_lease_of_earlier_process_on_the_same_host_is_taken_at_once(self):
        """Guards against a restarted process that waits for its predecessor's lease to expire."""
        machine = make_machine("n1:z")
        self.assertLess(self.wait_for_write(machine, 10.0), 10.3)

    def test_holder_stops_early(self):
        """Guards against orders that are sent just before the lease expires."""
        machine = make_machine()
        machine.tick(0.0)
        machine.on_read(Ok(None), 0.0)
        machine.tick(0.0)
        machine.on_write(Ok(1), 0.05)
        self.assertIsNotNone(machine.term(1.0))
        self.assertIsNone(machine.term(1.15))
        self.assertTrue(machine.is_held)


class SoleHostSinceTest(unittest.TestCase):
    """The time since which no other host has acted, computed from the lease record."""

    def acquire(self, machine: LeaseMachine, record: LeaseRecord | None, now: float) -> LeaseRecord:
        """Let the candidate read a lease and take it at ``now``; return the record it writes."""
        machine.tick(now)
        held = None if record is None else StoredObject("leases/a", 3, record.encode())
        machine.on_read(Ok(held), now)
        return self.write(machine, 4, now)

    def write(self, machine: LeaseMachine, version: int, now: float) -> LeaseRecord:
        (write,) = machine.tick(now)
        machine.on_write(Ok(version), now)
        return LeaseRecord.decode(write.value).unwrap()

    def test_restarted_process_continues_from_its_predecessor(self):
        """Guards against a violation of ONE (overlapping orders of two coordinators to one engine)
        by a process that is killed and restarted just after its host took the lease over from
        another host (soak test with seed 47).
        """
        machine = make_machine("n1:z")
        wrote = self.acquire(
            machine, LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=1.0), 10.0
        )
        self.assertEqual(machine.term(10.0).sole_host_since, 9.0)
        self.assertEqual(wrote.held_s, 1.0)

    def test_time_in_which_no_process_ran_counts(self):
        """Guards against a process that is restarted after a while and waits as if its host had
        taken the lease over from another host just now (soak test with seed 7).
        """
        machine = make_machine("n1:z", alone_since=7.0)
        record = LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=1.0)
        self.assertEqual(self.acquire(machine, record, 10.0).held_s, 4.0)
        self.assertEqual(machine.term(10.0).sole_host_since, 6.0)

    def test_own_process_may_have_taken_the_lease_just_now(self):
        """Guards against counting from the start of a process that has taken the lease over from
        another host since then, and has given it up.
        """
        machine = make_machine("n1:z", alone_since=7.0, former=frozenset({"n1:x"}))
        record = LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=1.0)
        self.acquire(machine, record, 10.0)
        self.assertEqual(machine.term(10.0).sole_host_since, 9.0)

    def test_held_time_grows_with_each_renewal(self):
        """Guards against a wait after each restart even if the host has long held the lease."""
        machine = make_machine("n1:z")
        self.acquire(machine, LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=1.0), 10.0)
        self.assertEqual(self.write(machine, 5, 10.5).held_s, 1.5)
        self.assertEqual(machine.term(10.6).sole_host_since, 9.0)

    def test_releasing_holder_may_have_acted_until_now(self):
        """Guards against adding the time for which another host held the lease."""
        machine = make_machine("n2:y")
        record = LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", released=True, held_s=60.0)
        self.assertEqual(self.acquire(machine, record, 10.0).held_s, 0.0)
        self.assertEqual(machine.term(10.0).sole_host_since, 10.0)

    def test_holder_of_expired_lease_stopped_before_expiry(self):
        """Guards against a second wait after the wait for the lease to expire."""
        machine = make_machine("n2:y")
        record = LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=60.0)
        machine.tick(10.0)
        machine.on_read(Ok(StoredObject("leases/a", 3, record.encode())), 10.0)
        self.write(machine, 4, 15.0)
        self.assertAlmostEqual(machine.term(15.0).sole_host_since, 10.0 + DURATION_S * 1.02 - 3.4)

    def test_record_without_held_time_counts_as_just_taken(self):
        """Guards against failing to decode a lease that an earlier version has written."""
        value = b'{"holder":"n1:x","epoch":7,"duration_s":4.5,"write_id":"w","released":false}'
        self.assertEqual(LeaseRecord.decode(value).unwrap().held_s, 0.0)
