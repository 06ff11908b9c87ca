"""Tests of the rate of loads from the weight store."""

import unittest

from ...fleet import ServiceBounds
from ..cold_load_gate import ColdLoadGate

BOUNDS = ServiceBounds(cold_load_window_s=5.0, cold_load_factor=1.1)


class WindowTest(unittest.TestCase):
    """Loads in a sliding window: 1.4 a second for 5 s, a tenth over, and two more."""

    def test_window_is_used_up_and_slides(self):
        """Guards against CEILING: more loads in some window than were agreed."""
        gate = ColdLoadGate(BOUNDS, 1.4, 1.2, now=0.0)
        begun = 0
        while gate.allowed(0.1 * begun, under_way=0):
            gate.note_begun(0.1 * begun)
            begun += 1
        self.assertEqual(begun, 9)
        self.assertFalse(gate.allowed(4.9, under_way=0))
        self.assertTrue(gate.allowed(5.05, under_way=0))

    def test_unknown_history_counts_as_used_up(self):
        """Guards against CEILING after a restart of all nodes."""
        gate = ColdLoadGate(BOUNDS, 1.4, 1.2, now=10.0, begun=None)
        self.assertFalse(gate.allowed(14.9, under_way=0))
        self.assertTrue(gate.allowed(15.1, under_way=0))
