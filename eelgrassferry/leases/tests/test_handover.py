"""Tests of taking a lease over sooner than its end."""

import unittest

from result import Ok

from ...objects import StoredObject
from .. import LeaseMachine, LeaseRecord, ReadLease, WriteLease

DURATION_S = 4.5


def make_machine(instance: str = "n2:y") -> LeaseMachine:
    """Return a candidate with the coordinator's times."""
    return LeaseMachine(
        "a",
        instance,
        duration_s=DURATION_S,
        stop_early_s=3.4,
        renew_s=0.4,
        one_per_host=True,
        takeover_factor=1.02,
    )


def held_by(holder: str, version: int = 3) -> StoredObject:
    """Return a lease that another instance holds."""
    value = LeaseRecord(holder, 7, DURATION_S, f"{holder}/1").encode()
    return StoredObject("leases/a", version, value)


class HandoverTest(unittest.TestCase):
    """A candidate and a lease held by n1:x."""

    def wait_for_write(self, machine: LeaseMachine, now: float, holder: str = "n1:x") -> float:
        """Let the candidate read an unchanged lease until it writes; return when."""
        while True:
            for action in machine.tick(now):
                if isinstance(action, WriteLease):
                    return now
                self.assertIsInstance(action, ReadLease)
                machine.on_read(Ok(held_by(holder)), now)
            now += 0.05

    def test_unchanged_lease_is_taken_after_its_duration(self):
        """Guards against a takeover while the holder's orders may be on their way."""
        took_s = self.wait_for_write(make_machine(), 10.0) - 10.0
        self.assertGreaterEqual(took_s, DURATION_S)
        self.assertLess(took_s, DURATION_S * 1.02 + 0.5)

    def test_version_that_was_heard_of_counts_from_then(self):
        """Guards against waiting the whole duration from the first own read (frozen holder)."""
        machine = make_machine()
        machine.note_version(3, 8.0)
        self.assertLess(self.wait_for_write(machine, 10.0), 8.0 + DURATION_S * 1.02 + 0.5)

    def test_other_version_does_not_count(self):
        """Guards against a takeover after a renewal that was not heard of."""
        machine = make_machine()
        machine.note_version(2, 1.0)
        self.assertGreaterEqual(self.wait_for_write(machine, 10.0) - 10.0, DURATION_S)

    def test_holder_that_is_gone_is_followed_at_once(self):
        """Guards against waiting for a holder that has resigned."""
        machine = make_machine()
        machine.tick(10.0)
        machine.on_read(Ok(held_by("n1:x")), 10.0)
        machine.note_gone("n1:x", 10.1)
        self.assertLess(self.wait_for_write(machine, 10.1), 10.3)

    def test_process_before_on_the_same_host_is_gone(self):
        """Guards against waiting for one's own former process."""
        machine = make_machine("n1:z")
        self.assertLess(self.wait_for_write(machine, 10.0), 10.3)

    def test_holder_stops_early(self):
        """Guards against orders in the last moments of a lease."""
        machine = make_machine()
        machine.tick(0.0)
        machine.on_read(Ok(None), 0.0)
        machine.tick(0.0)
        machine.on_write(Ok(1), 0.05)
        self.assertIsNotNone(machine.term(1.0))
        self.assertIsNone(machine.term(1.15))
        self.assertTrue(machine.is_held)


class AloneSinceTest(unittest.TestCase):
    """From when on no other host has acted, as a holder knows it from the lease's record."""

    def take(self, machine: LeaseMachine, record: LeaseRecord | None, now: float) -> LeaseRecord:
        """Let the candidate read a lease and take it at ``now``, and return what it writes."""
        machine.tick(now)
        held = None if record is None else StoredObject("leases/a", 3, record.encode())
        machine.on_read(Ok(held), now)
        return self.write(machine, 4, now)

    def write(self, machine: LeaseMachine, version: int, now: float) -> LeaseRecord:
        (write,) = machine.tick(now)
        machine.on_write(Ok(version), now)
        return LeaseRecord.decode(write.value).unwrap()

    def test_restarted_process_counts_from_the_one_before(self):
        """Guards against ONE: a process that was killed just after it had followed another host
        (soak seed 47).
        """
        machine = make_machine("n1:z")
        wrote = self.take(machine, LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=1.0), 10.0)
        self.assertEqual(machine.term(10.0).alone_since, 9.0)
        self.assertEqual(wrote.held_s, 1.0)

    def test_time_grows_with_each_renewal(self):
        """Guards against a wait after each restart, however long the lease was held before."""
        machine = make_machine("n1:z")
        self.take(machine, LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=1.0), 10.0)
        self.assertEqual(self.write(machine, 5, 10.5).held_s, 1.5)
        self.assertEqual(machine.term(10.6).alone_since, 9.0)

    def test_holder_that_released_may_have_acted_until_now(self):
        """Guards against counting the time of another host."""
        machine = make_machine("n2:y")
        record = LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", released=True, held_s=60.0)
        self.assertEqual(self.take(machine, record, 10.0).held_s, 0.0)
        self.assertEqual(machine.term(10.0).alone_since, 10.0)

    def test_holder_that_lapsed_stopped_before(self):
        """Guards against a second wait after that for the end of the lease."""
        machine = make_machine("n2:y")
        record = LeaseRecord("n1:x", 7, DURATION_S, "n1:x/1", held_s=60.0)
        machine.tick(10.0)
        machine.on_read(Ok(StoredObject("leases/a", 3, record.encode())), 10.0)
        self.write(machine, 4, 15.0)
        self.assertAlmostEqual(machine.term(15.0).alone_since, 10.0 + DURATION_S * 1.02 - 3.4)

    def test_record_without_the_time_counts_as_just_taken(self):
        """Guards against a lease of an earlier release that cannot be read."""
        value = b'{"holder":"n1:x","epoch":7,"duration_s":4.5,"write_id":"w","released":false}'
        self.assertEqual(LeaseRecord.decode(value).unwrap().held_s, 0.0)
