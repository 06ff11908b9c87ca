"""Tests of the queue and the choice of upstreams for plain services."""

import unittest

from result import Ok

from ..service_pool import MAX_IN_FLIGHT, Granted, ServicePool, Waiting


def fill(pool: ServicePool, count: int) -> None:
    """Put calls in flight."""
    for number in range(count):
        pool.ask(f"f{number}", urgent=True, avoid=(), now=0.0)


class ServicePoolTest(unittest.TestCase):
    """One pool on a clock of its own."""

    def test_urgent_calls_go_before_patient_ones(self):
        """Guards against urgent orders that queue behind batches."""
        pool = ServicePool("s", ("a",))
        fill(pool, MAX_IN_FLIGHT)
        for call, urgent in (("p1", False), ("u1", True)):
            self.assertEqual(pool.ask(call, urgent=urgent, avoid=(), now=0.0), Ok(Waiting(call)))
        pool.finish("a", 1.0)
        self.assertEqual(pool.advance(1.0), (Granted("u1", "a"),))
        pool.finish("a", 1.0)
        self.assertEqual(pool.advance(1.0), (Granted("p1", "a"),))

    def test_leaving_upstream_gets_no_new_call(self):
        """Guards against new work at an upstream that is about to stop."""
        pool = ServicePool("s", ("a", "b"))
        pool.set_leaving(("a",))
        granted = {
            pool.ask(f"c{n}", urgent=True, avoid=(), now=0.0).unwrap().upstream for n in range(4)
        }
        self.assertEqual(granted, {"b"})

    def test_refused_upstream_rests_and_is_tried_again(self):
        """Guards against an upstream that is never used again after one refusal."""
        pool = ServicePool("s", ("a",))
        fill(pool, 1)
        pool.finish("a", 1.0, refused=True)
        self.assertEqual(pool.ask("c", urgent=True, avoid=(), now=1.1), Ok(Waiting("c")))
        self.assertEqual(pool.advance(1.2), ())
        self.assertEqual(pool.advance(9.0), (Granted("c", "a"),))

    def test_call_that_left_is_not_granted(self):
        """Guards against a place that is lost to a caller that has hung up."""
        pool = ServicePool("s", ("a",))
        fill(pool, MAX_IN_FLIGHT)
        pool.ask("gone", urgent=True, avoid=(), now=0.0)
        pool.leave("gone")
        pool.finish("a", 1.0)
        self.assertEqual(pool.advance(1.0), ())

    def test_every_upstream_avoided_is_a_refusal(self):
        """Guards against an order that waits for an upstream that has refused it already."""
        pool = ServicePool("s", ("a",))
        refusal = pool.ask("c", urgent=True, avoid=("a",), now=0.0).unwrap_err()
        self.assertEqual(refusal.reason, "no_upstream")
