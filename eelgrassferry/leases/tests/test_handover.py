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
