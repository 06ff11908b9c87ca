"""Tests of the rate limit for loads from the weight store."""

import unittest

from ...fleet import ServiceBounds
from ..cold_load_limiter import ColdLoadLimiter

BOUNDS = ServiceBounds(cold_load_window_s=5.0, cold_load_factor=1.1)


def possible_begin_times(limiter, now):
    """Return the latest times at which the loads in the window may have begun."""
    return (*limiter.begin_times_between(0, limiter.begun_count), *[now] * limiter.pending_loads)


class WindowTest(unittest.TestCase):
    """Loads in a sliding window: 1.4 per second for 5 s, 10 % more, and two extra loads."""

    def test_window_is_used_up_and_slides(self):
        """Guards against exceeding the agreed number of loads in any window."""
        limiter = ColdLoadLimiter(BOUNDS, 1.4, 1.2, now=0.0)
        begun = 0
        while limiter.allowed(0.1 * begun, loads_in_progress=0):
            limiter.record_order(f"u{begun}", 0, 0.1 * begun)
            limiter.update_accepted_orders(f"u{begun}", 1, 0.1 * begun)
            begun += 1
        self.assertEqual(begun, 9)
        self.assertFalse(limiter.allowed(4.9, loads_in_progress=0))
        self.assertTrue(limiter.allowed(5.05, loads_in_progress=0))

    def test_unknown_history_counts_as_used_up(self):
        """Guards against exceeding the limit after a restart of all nodes loses the history."""
        limiter = ColdLoadLimiter(BOUNDS, 1.4, 1.2, now=10.0, begin_times=None)
        self.assertFalse(limiter.allowed(14.9, loads_in_progress=0))
        self.assertTrue(limiter.allowed(15.1, loads_in_progress=0))


class PendingLoadTest(unittest.TestCase):
    """Ordered loads whose begin is not confirmed yet."""

    def setUp(self):
        self.limiter = ColdLoadLimiter(BOUNDS, 1.4, 1.2, now=0.0, begin_times=(0.0,) * 8)

    def test_load_counts_from_its_answer(self):
        """Guards against exceeding the limit because a load begins later than it was ordered: it
        then shares a window with loads that are ordered more than 5 s after its order.
        """
        self.limiter.record_order("u1", 3, 0.1)
        self.limiter.update_accepted_orders("u1", 4, 0.4)
        self.assertTrue(self.limiter.allowed(5.2, loads_in_progress=0))
        self.assertEqual(len(possible_begin_times(self.limiter, 5.2)), 1)
        self.assertTrue(self.limiter.allowed(5.5, loads_in_progress=0))
        self.assertEqual(possible_begin_times(self.limiter, 5.5), ())

    def test_load_without_answer_counts_until_another_order_is_accepted(self):
        """Guards against exceeding the limit when an unanswered order is executed seconds later."""
        self.limiter.record_order("u1", 3, 0.1)
        self.limiter.on_no_answer("u1")
        self.limiter.on_refused("u1")
        self.assertTrue(self.limiter.allowed(10.0, loads_in_progress=0))
        self.assertEqual(possible_begin_times(self.limiter, 10.0), (10.0,))
        self.limiter.update_accepted_orders("u1", 3, 10.0)
        self.assertEqual(possible_begin_times(self.limiter, 10.5), (10.5,))
        self.limiter.update_accepted_orders("u1", 4, 11.0)
        self.assertEqual(possible_begin_times(self.limiter, 11.5), (11.0,))

    def test_load_without_answer_expires(self):
        """Guards against blocking further loads forever after a lost order to an idle engine."""
        self.limiter.record_order("u1", 3, 0.1)
        self.limiter.on_no_answer("u1")
        self.limiter.allowed(12.0, loads_in_progress=0)
        self.assertEqual(self.limiter.pending_loads, 1)
        self.limiter.allowed(12.2, loads_in_progress=0)
        self.assertEqual(
            (self.limiter.pending_loads, possible_begin_times(self.limiter, 12.2)), (0, (12.2,))
        )
        self.limiter.allowed(17.3, loads_in_progress=0)
        self.assertEqual(possible_begin_times(self.limiter, 17.3), ())

    def test_refused_load_does_not_count(self):
        """Guards against loads that are blocked by orders which engines refused."""
        self.assertTrue(self.limiter.allowed(1.0, loads_in_progress=0))
        self.limiter.record_order("u1", 3, 1.0)
        self.assertFalse(self.limiter.allowed(1.0, loads_in_progress=0))
        self.limiter.on_refused("u1")
        self.assertTrue(self.limiter.allowed(1.0, loads_in_progress=0))

    def test_second_load_for_the_same_count_is_one_load(self):
        """Guards against counting two orders with the same count, of which one is accepted."""
        self.limiter.record_order("u1", 3, 1.0)
        self.limiter.on_no_answer("u1")
        self.limiter.record_order("u1", 3, 2.0)
        self.assertEqual(possible_begin_times(self.limiter, 2.0), (*(0.0,) * 8, 2.0))

    def test_end_of_an_engine_confirms_its_load(self):
        """Guards against loads that are blocked forever by engines that have ended."""
        self.limiter.record_order("u1", 3, 1.0)
        self.limiter.on_no_answer("u1")
        self.limiter.confirm_load("u1", 2.0)
        self.assertTrue(self.limiter.allowed(7.1, loads_in_progress=0))
        self.assertEqual(possible_begin_times(self.limiter, 7.1), ())
