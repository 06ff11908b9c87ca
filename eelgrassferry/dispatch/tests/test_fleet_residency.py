"""Tests of combining the registry with the reports of the coordinator."""

import unittest

from .. import CoordinatorResidency
from .fixtures import DispatcherFixture


class FleetResidencyTest(unittest.TestCase):
    """Residency of upstream ``e0``, which is registered with model ``m0`` and adapter ``a1``."""

    def setUp(self):
        self.residency = DispatcherFixture().residency

    def report(self, live: set[str], started_ms: int = 1, **adapters: set[str]) -> None:
        """Report a residency from the coordinator at time 0."""
        adapters_by_model = {model: frozenset(names) for model, names in adapters.items()}
        reported = CoordinatorResidency(started_ms, frozenset(live), adapters_by_model)
        self.residency.set_coordinator_residency({"e0": reported})
        self.residency.record_coordinator_contact(0.0)

    def test_registry_alone(self):
        """Guards against refusing all requests before the first report of a coordinator."""
        self.assertTrue(self.residency.is_resident("e0", "m0", "a1", 0.0))
        self.assertFalse(self.residency.is_resident("e0", "m0", "a2", 0.0))
        self.assertFalse(self.residency.is_resident("e0", "m1", "", 0.0))

    def test_model_loaded_while_the_store_is_down(self):
        """Guards against refusing a model that was loaded during a store outage, when the registry
        is not updated (scenario trouble-3).
        """
        self.report({"m0", "m1"}, m1={"a3"})
        self.assertTrue(self.residency.is_resident("e0", "m1", "", 0.1))
        self.assertTrue(self.residency.is_resident("e0", "m1", "a3", 0.1))

    def test_withdrawn_model(self):
        """Guards against sending requests for a model that is about to be unloaded."""
        self.report(set())
        self.assertFalse(self.residency.is_resident("e0", "m0", "", 0.1))

    def test_silent_coordinator(self):
        """Guards against a withdrawal that stays in force after its coordinator has stopped."""
        self.report(set())
        self.assertTrue(self.residency.is_resident("e0", "m0", "", 3.0))

    def test_other_process(self):
        """Guards against applying a report on an earlier incarnation of an upstream."""
        self.report({"m1"}, started_ms=0)
        self.assertFalse(self.residency.is_resident("e0", "m1", "", 0.1))

    def test_declined_model_is_avoided_for_a_while(self):
        """Guards against an immediate retry at an upstream that has declined the model."""
        self.residency.record_absent("e0", "m0", "", 0.0)
        self.assertFalse(self.residency.is_resident("e0", "m0", "", 0.5))
        self.assertTrue(self.residency.is_resident("e0", "m0", "", 0.7))
