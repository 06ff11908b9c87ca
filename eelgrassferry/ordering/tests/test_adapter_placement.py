"""Tests of the choice of an engine for an adapter."""

import unittest

from ...placement import OrderKind
from .. import EngineReport
from ..adapter_placement import place_adapter
from ..engine_tracker import EngineTracker
from .fixtures import make_entry, make_service


def make_tracker(instance: str, *adapters: str) -> EngineTracker:
    """Return the ready tracker of an engine with m0 and some of its adapters loaded."""
    entry = make_entry(instance, "m0")
    tracker = EngineTracker(entry, make_service().engine, float("-inf"), 0.0)
    assert tracker.apply_report(EngineReport({"m0": frozenset(adapters)}, False, 3), 1.0, 1.0)
    return tracker


class AdapterPlacementTest(unittest.TestCase):
    """Choice of the engine for an adapter."""

    def test_least_busy_engine_with_a_free_slot(self):
        """Guards against loading adapters on a busy engine while another one has free slots."""
        trackers = [make_tracker("u0"), make_tracker("u1", "a1")]
        tracker, order = place_adapter("m0", "a5", trackers, [("m0", "a5")], {"u0": 9.0}, 2.0)
        self.assertEqual((tracker.instance, order.kind), ("u1", OrderKind.LOAD_ADAPTER))

    def test_loaded_adapter_is_not_ordered_again(self):
        """Guards against loading one adapter on every engine."""
        trackers = [make_tracker("u0", "a5"), make_tracker("u1")]
        self.assertIsNone(place_adapter("m0", "a5", trackers, [("m0", "a5")], {}, 2.0))

    def test_adapter_on_a_limited_engine_is_loaded_on_another_one(self):
        """Guards against requests that are refused although an engine with their model could load
        their adapter within milliseconds (the day ``capped``).
        """
        trackers = [make_tracker("u0", "a5"), make_tracker("u1")]
        tracker, order = place_adapter("m0", "a5", trackers, [("m0", "a5")], {}, 2.0, {"u0"})
        self.assertEqual((tracker.instance, order.kind), ("u1", OrderKind.LOAD_ADAPTER))
        all_limited = place_adapter("m0", "a5", trackers, [("m0", "a5")], {}, 2.0, {"u0", "u1"})
        self.assertIsNone(all_limited)

    def test_recently_used_and_awaited_adapters_stay(self):
        """Guards against adapters in use that evict each other in turn."""
        tracker = make_tracker("u0", "a1", "a2", "a3", "a4")
        tracker.used_at = {("m0", f"a{i}"): 9.9 for i in range(1, 5)}
        self.assertIsNone(place_adapter("m0", "a5", [tracker], [("m0", "a5")], {}, 10.0))
        tracker.used_at["m0", "a3"] = 2.0
        _, order = place_adapter("m0", "a5", [tracker], [("m0", "a5")], {}, 10.0)
        self.assertEqual((order.kind, order.adapter), (OrderKind.UNLOAD_ADAPTER, "a3"))
        awaited = [("m0", "a5"), ("m0", "a3")]
        self.assertIsNone(place_adapter("m0", "a5", [tracker], awaited, {}, 10.0))
