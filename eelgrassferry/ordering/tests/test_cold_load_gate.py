"""Tests of the rate of loads from the weight store."""

import unittest

from ...fleet import ServiceBounds
from ..cold_load_gate import ColdLoadGate

BOUNDS = ServiceBounds(cold_load_window_s=5.0, cold_load_factor=1.1)


def begun_by(gate, now):
    """Return the latest times at which the loads of the window may have begun."""
    return (*gate.begun_since(0, gate.begun_count), *[now] * gate.open_loads)


class WindowTest(unittest.TestCase):
    """Loads in a sliding window: 1.4 a second for 5 s, a tenth over, and two more."""

    def test_window_is_used_up_and_slides(self):
        """Guards against CEILING: more loads in some window than were agreed."""
        gate = ColdLoadGate(BOUNDS, 1.4, 1.2, now=0.0)
        begun = 0
        while gate.allowed(0.1 * begun, under_way=0):
            gate.note_ordered(f"u{begun}", 0, 0.1 * begun)
            gate.note_count(f"u{begun}", 1, 0.1 * begun)
            begun += 1
        self.assertEqual(begun, 9)
        self.assertFalse(gate.allowed(4.9, under_way=0))
        self.assertTrue(gate.allowed(5.05, under_way=0))

    def test_unknown_history_counts_as_used_up(self):
        """Guards against CEILING after a restart of all nodes."""
        gate = ColdLoadGate(BOUNDS, 1.4, 1.2, now=10.0, begun=None)
        self.assertFalse(gate.allowed(14.9, under_way=0))
        self.assertTrue(gate.allowed(15.1, under_way=0))


class OpenOrderTest(unittest.TestCase):
    """Loads whose begin is not known yet."""

    def setUp(self):
        self.gate = ColdLoadGate(BOUNDS, 1.4, 1.2, now=0.0, begun=(0.0,) * 8)

    def test_load_counts_from_its_answer(self):
        """Guards against CEILING: a load that begins later than it was ordered is in the window of
        loads that are ordered more than 5 s after its order.
        """
        self.gate.note_ordered("u1", 3, 0.1)
        self.gate.note_count("u1", 4, 0.4)
        self.assertTrue(self.gate.allowed(5.2, under_way=0))
        self.assertEqual(len(begun_by(self.gate, 5.2)), 1)
        self.assertTrue(self.gate.allowed(5.5, under_way=0))
        self.assertEqual(begun_by(self.gate, 5.5), ())

    def test_load_without_answer_counts_until_another_order_is_accepted(self):
        """Guards against CEILING: an order without an answer is carried out seconds later."""
        self.gate.note_ordered("u1", 3, 0.1)
        self.gate.note_unanswered("u1")
        self.gate.note_refused("u1")
        self.assertTrue(self.gate.allowed(10.0, under_way=0))
        self.assertEqual(begun_by(self.gate, 10.0), (10.0,))
        self.gate.note_count("u1", 3, 10.0)
        self.assertEqual(begun_by(self.gate, 10.5), (10.5,))
        self.gate.note_count("u1", 4, 11.0)
        self.assertEqual(begun_by(self.gate, 11.5), (11.0,))

    def test_load_without_answer_does_not_count_for_ever(self):
        """Guards against a gate that lost orders to engines without other work keep shut."""
        self.gate.note_ordered("u1", 3, 0.1)
        self.gate.note_unanswered("u1")
        self.gate.allowed(12.0, under_way=0)
        self.assertEqual(self.gate.open_loads, 1)
        self.gate.allowed(12.2, under_way=0)
        self.assertEqual((self.gate.open_loads, begun_by(self.gate, 12.2)), (0, (12.2,)))
        self.gate.allowed(17.3, under_way=0)
        self.assertEqual(begun_by(self.gate, 17.3), ())

    def test_refused_load_does_not_count(self):
        """Guards against a gate that is shut by orders that the engines declined."""
        self.assertTrue(self.gate.allowed(1.0, under_way=0))
        self.gate.note_ordered("u1", 3, 1.0)
        self.assertFalse(self.gate.allowed(1.0, under_way=0))
        self.gate.note_refused("u1")
        self.assertTrue(self.gate.allowed(1.0, under_way=0))

    def test_second_load_for_the_same_count_is_one_load(self):
        """Guards against counting two orders of which the engine accepts one."""
        self.gate.note_ordered("u1", 3, 1.0)
        self.gate.note_unanswered("u1")
        self.gate.note_ordered("u1", 3, 2.0)
        self.assertEqual(begun_by(self.gate, 2.0), (*(0.0,) * 8, 2.0))

    def test_engine_that_ends_settles_its_load(self):
        """Guards against a gate that engines which are gone keep shut."""
        self.gate.note_ordered("u1", 3, 1.0)
        self.gate.note_unanswered("u1")
        self.gate.note_gone("u1", 2.0)
        self.assertTrue(self.gate.allowed(7.1, under_way=0))
        self.assertEqual(begun_by(self.gate, 7.1), ())
