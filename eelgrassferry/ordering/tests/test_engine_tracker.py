"""Tests of the tracked state of one engine."""

import unittest
from dataclasses import replace

from ...dispatch import CoordinatorResidency
from ...placement import OrderKind
from .. import EngineReport, FleetOrder, OrderAnswer
from ..engine_tracker import CopyState, EngineTracker
from .fixtures import make_entry, make_service


def make_tracker(*models: str) -> EngineTracker:
    """Return a tracker that has applied a report of its engine at time 1."""
    tracker = EngineTracker(make_entry("u0", *models), make_service().engine, float("-inf"), 0.0)
    residents = {model: frozenset() for model in models}
    assert tracker.apply_report(EngineReport(residents, False, 0), 1.0, 1.0)
    return tracker


class ReportTest(unittest.TestCase):
    """Conditions under which reports are used, and their effects."""

    def test_load_of_an_earlier_coordinator_occupies_memory(self):
        """Guards against overcommitted memory: a load in progress that an earlier coordinator
        ordered is not among the residents (fault hunt 00f1).
        """
        tracker = EngineTracker(make_entry("u0", "m0"), make_service().engine, float("-inf"), 0.0)
        busy = EngineReport({"m0": frozenset()}, True, 4)
        self.assertFalse(tracker.apply_report(busy, 1.0, 1.0))
        self.assertFalse(tracker.is_ready(1.0))
        done = EngineReport({"m0": frozenset(), "m1": frozenset()}, False, 4)
        self.assertTrue(tracker.apply_report(done, 2.0, 2.0))
        self.assertLess(tracker.free_mb, 100.0)

    def test_load_behind_one_that_has_ended_occupies_memory(self):
        """Guards against overcommitted memory: the engine's report shows an order in progress that
        is not the load which an earlier coordinator has published, because that one has ended
        (review case 4).
        """
        spec = make_service().engine
        for state in (
            CoordinatorResidency(1, frozenset({"m0"}), loading={"m1": 2.0}),
            CoordinatorResidency(1, frozenset({"m0", "m1"})),
        ):
            tracker = EngineTracker(make_entry("u0", "m0"), spec, float("-inf"), 0.0)
            tracker.assume_residency(state, 0.5)
            busy = EngineReport({"m0": frozenset(), "m1": frozenset()}, True, 4)
            self.assertFalse(tracker.apply_report(busy, 1.0, 1.0))
            self.assertFalse(tracker.is_ready(1.0))

    def test_unload_behind_one_that_has_ended_is_awaited(self):
        """Guards against an order in progress that is taken for an unload which has ended."""
        tracker = make_tracker("m0", "m1")
        tracker.begin_order(FleetOrder(OrderKind.UNLOAD_MODEL, "m1", 0), 2.0)
        tracker.on_answer(OrderAnswer.ACCEPTED, 2.01)
        own = EngineReport({"m0": frozenset(), "m1": frozenset()}, True, 1)
        self.assertTrue(tracker.apply_report(own, 3.0, 3.0))
        other = EngineReport({"m0": frozenset()}, True, 2)
        self.assertFalse(tracker.apply_report(other, 3.5, 3.5))

    def test_report_older_than_the_last_order_is_not_used(self):
        """Guards against dropping a load that the report is too old to show."""
        tracker = make_tracker("m0")
        tracker.begin_order(FleetOrder(OrderKind.LOAD_MODEL, "m1", 0), 2.0)
        tracker.on_answer(OrderAnswer.ACCEPTED, 2.01)
        before = EngineReport({"m0": frozenset()}, False, 0)
        self.assertFalse(tracker.apply_report(before, 2.1, 2.2))
        self.assertIs(tracker.copies["m1"].state, CopyState.LOADING)

    def test_adapters_in_transit_occupy_slots(self):
        """Guards against overcommitted adapter slots while adapters are in transit."""
        tracker = make_tracker("m0")
        report = EngineReport(
            {"m0": frozenset({"a1"})}, False, 2, adapters_in_transit=frozenset({("m0", "a2")})
        )
        tracker.apply_report(report, 3.0, 3.0)
        self.assertEqual(tracker.free_slots, 2)

    def test_report_updates_the_local_weights(self):
        """Guards against uncounted loads from the weight store: while the registry is unavailable,
        an entry lists weights on the engine's disk that later loads have replaced (enlarged
        fault hunt 93e4-7).
        """
        entry = make_entry("u0", "m0", on_disk=("m1",))
        tracker = EngineTracker(entry, make_service().engine, float("-inf"), 0.0)
        self.assertFalse(tracker.is_cold("m1"))
        report = EngineReport({"m0": frozenset()}, False, 4, on_disk=frozenset({"m0", "m2"}))
        self.assertTrue(tracker.apply_report(report, 1.0, 1.0))
        self.assertTrue(tracker.is_cold("m1"))
        self.assertFalse(tracker.is_cold("m2"))
        tracker.apply_entry(replace(entry, on_disk=frozenset({"m0", "m1"})), 2.0)
        self.assertFalse(tracker.is_cold("m1"))


class EntryTest(unittest.TestCase):
    """Effects of registry entries."""

    def test_entry_older_than_the_load_does_not_end_an_unload(self):
        """Guards against overcommitted memory: an unload that waits for running requests must not
        free memory because the entry predates the load of the copy.
        """
        tracker = make_tracker("m0", "m1")
        stale = replace(tracker.entry, residents={"m0": frozenset()})
        tracker.entry = stale
        tracker.begin_order(FleetOrder(OrderKind.UNLOAD_MODEL, "m1", 0), 2.0)
        tracker.on_answer(OrderAnswer.ACCEPTED, 2.01)
        tracker.apply_entry(replace(stale, slots=9), 2.1)
        self.assertIn("m1", tracker.copies)

    def test_change_of_the_entry_ends_a_load_and_an_unload(self):
        """Guards against waiting for a report when the entry already shows the change."""
        tracker = make_tracker("m0", "m1")
        tracker.begin_order(FleetOrder(OrderKind.UNLOAD_MODEL, "m1", 0), 2.0)
        tracker.on_answer(OrderAnswer.ACCEPTED, 2.01)
        tracker.apply_entry(replace(tracker.entry, residents={"m0": frozenset()}), 2.1)
        self.assertNotIn("m1", tracker.copies)
        tracker.begin_order(FleetOrder(OrderKind.LOAD_MODEL, "m2", 1), 2.2)
        tracker.on_answer(OrderAnswer.ACCEPTED, 2.21)
        residents = {"m0": frozenset(), "m2": frozenset()}
        tracker.apply_entry(replace(tracker.entry, residents=residents), 3.4)
        self.assertTrue(tracker.is_live("m2"))


class AnswerTest(unittest.TestCase):
    """Effects of the answers to orders."""

    def test_order_without_answer_is_repeated_with_its_count(self):
        """Guards against two competing orders that the engine could both accept."""
        tracker = make_tracker("m0")
        order = FleetOrder(OrderKind.LOAD_MODEL, "m1", 0)
        tracker.begin_order(order, 2.0)
        self.assertEqual(tracker.on_answer(OrderAnswer.UNKNOWN, 2.4), order)
        self.assertLess(tracker.free_mb, 100.0)

    def test_conflict_needs_a_new_report(self):
        """Guards against orders with an expected count that is known to be wrong."""
        tracker = make_tracker("m0")
        tracker.begin_order(FleetOrder(OrderKind.LOAD_MODEL, "m1", 0), 2.0)
        self.assertIsNone(tracker.on_answer(OrderAnswer.CONFLICT, 2.01))
        self.assertFalse(tracker.is_ready(2.02))
        self.assertFalse(tracker.needs_report(2.1))
        self.assertTrue(tracker.needs_report(2.5))

    def test_other_instance_makes_the_engine_suspected_for_a_while(self):
        """Guards against loads on an engine that crashed but is still registered (scenario
        scale-1).
        """
        tracker = make_tracker("m0")
        tracker.begin_order(FleetOrder(OrderKind.LOAD_MODEL, "m1", 0), 2.0)
        tracker.on_answer(OrderAnswer.OTHER_INSTANCE, 2.01)
        self.assertTrue(tracker.is_suspected(2.1))
        self.assertFalse(tracker.is_suspected(5.0))

    def test_no_order_before_the_end_of_the_handover(self):
        """Guards against orders of two lease holders to one engine within the handover time."""
        tracker = EngineTracker(make_entry("u0"), make_service().engine, 8.0, 11.0)
        self.assertTrue(tracker.apply_report(EngineReport({}, False, 3), 9.0, 9.0))
        self.assertFalse(tracker.is_ready(10.9))
        self.assertTrue(tracker.is_ready(11.0))


class MemoryTest(unittest.TestCase):
    """Accounting of used memory."""

    def test_memory_of_adapter_slots_is_reserved(self):
        """Guards against overcommitted memory when adapters are loaded after the models."""
        tracker = make_tracker("m0")
        self.assertEqual(tracker.free_mb, 210.0 - 100.0 - 4 * 1.0)

    def test_withdrawn_copy_keeps_its_memory(self):
        """Guards against overcommitted memory by a load that starts before the unload ends."""
        tracker = make_tracker("m0", "m1")
        tracker.withdraw("m1", "m2", 2.0)
        self.assertLess(tracker.free_mb, 100.0)
        self.assertFalse(tracker.is_live("m1"))
