"""Tests of joining the registry with the coordinator's word."""

import unittest

from .. import OrderedResidency
from .fixtures import DispatchWorld


class HoldsTest(unittest.TestCase):
    """Upstream e0, which registers m0 with the adapter a1."""

    def setUp(self):
        self.residency = DispatchWorld().residency

    def order(self, live: set[str], started_ms: int = 1, **adapters: set[str]) -> None:
        """Let the coordinator speak at time 0."""
        known = {model: frozenset(names) for model, names in adapters.items()}
        ordered = OrderedResidency(started_ms, frozenset(live), known)
        self.residency.set_ordered({"e0": ordered})
        self.residency.note_heard(0.0)

    def test_registry_alone(self):
        """Guards against serving nothing before a coordinator is heard."""
        self.assertTrue(self.residency.holds("e0", "m0", "a1", 0.0))
        self.assertFalse(self.residency.holds("e0", "m0", "a2", 0.0))
        self.assertFalse(self.residency.holds("e0", "m1", "", 0.0))

    def test_model_loaded_while_the_store_is_down(self):
        """Guards against refusing a model that was loaded in an outage (trouble-3)."""
        self.order({"m0", "m1"}, m1={"a3"})
        self.assertTrue(self.residency.holds("e0", "m1", "", 0.1))
        self.assertTrue(self.residency.holds("e0", "m1", "a3", 0.1))

    def test_withdrawn_model(self):
        """Guards against requests for a model that is about to be unloaded."""
        self.order(set())
        self.assertFalse(self.residency.holds("e0", "m0", "", 0.1))

    def test_silent_coordinator(self):
        """Guards against a withdrawal that outlives its coordinator."""
        self.order(set())
        self.assertTrue(self.residency.holds("e0", "m0", "", 3.0))

    def test_other_process(self):
        """Guards against believing what was ordered from a process that has ended."""
        self.order({"m1"}, started_ms=0)
        self.assertFalse(self.residency.holds("e0", "m1", "", 0.1))

    def test_declined_model_is_avoided_for_a_while(self):
        """Guards against sending again at once to an upstream that has said no."""
        self.residency.note_absent("e0", "m0", "", 0.0)
        self.assertFalse(self.residency.holds("e0", "m0", "", 0.5))
        self.assertTrue(self.residency.holds("e0", "m0", "", 0.7))
