"""Tests for the queue and the selection of upstreams for plain services."""

import unittest

from result import Ok

from ..service_pool import MAX_IN_FLIGHT, Granted, ServicePool, Waiting


def fill_slots(pool: ServicePool, count: int) -> None:
    """Grant the given number of calls."""
    for number in range(count):
        pool.admit(f"f{number}", urgent=True, excluded=(), now=0.0)


class ServicePoolTest(unittest.TestCase):
    """A pool with a manual clock."""

    def test_urgent_calls_go_before_patient_ones(self):
        """Guards against urgent calls that queue behind patient ones."""
        pool = ServicePool("s", ("a",))
        fill_slots(pool, MAX_IN_FLIGHT)
        for call, urgent in (("p1", False), ("u1", True)):
            self.assertEqual(
                pool.admit(call, urgent=urgent, excluded=(), now=0.0), Ok(Waiting(call))
            )
        pool.finish("a", 1.0)
        self.assertEqual(pool.grant_waiting(1.0), (Granted("u1", "a"),))
        pool.finish("a", 1.0)
        self.assertEqual(pool.grant_waiting(1.0), (Granted("p1", "a"),))

    def test_leaving_upstream_gets_no_new_call(self):
        """Guards against new calls to an upstream that is about to stop."""
        pool = ServicePool("s", ("a", "b"))
        pool.set_leaving(("a",))
        granted = {
            pool.admit(f"c{n}", urgent=True, excluded=(), now=0.0).unwrap().upstream
            for n in range(4)
        }
        self.assertEqual(granted, {"b"})

    def test_upstream_is_retried_after_refused_connection(self):
        """Guards against an upstream that is never used again after one refused connection."""
        pool = ServicePool("s", ("a",))
        fill_slots(pool, 1)
        pool.finish("a", 1.0, refused=True)
        self.assertEqual(pool.admit("c", urgent=True, excluded=(), now=1.1), Ok(Waiting("c")))
        self.assertEqual(pool.grant_waiting(1.2), ())
        self.assertEqual(pool.grant_waiting(9.0), (Granted("c", "a"),))

    def test_cancelled_call_is_not_granted(self):
        """Guards against a slot that is lost to a caller that has disconnected."""
        pool = ServicePool("s", ("a",))
        fill_slots(pool, MAX_IN_FLIGHT)
        pool.admit("gone", urgent=True, excluded=(), now=0.0)
        pool.cancel("gone")
        pool.finish("a", 1.0)
        self.assertEqual(pool.grant_waiting(1.0), ())

    def test_call_without_remaining_upstream_is_refused(self):
        """Guards against a call that waits for an upstream that has already refused it."""
        pool = ServicePool("s", ("a",))
        refusal = pool.admit("c", urgent=True, excluded=("a",), now=0.0).unwrap_err()
        self.assertEqual(refusal.reason, "no_upstream")
