"""Tests of the book of one engine."""

import unittest
from dataclasses import replace

from ...placement import OrderKind
from .. import EngineReport, FleetOrder, OrderAnswer
from ..engine_book import CopyState, EngineBook
from .fixtures import make_entry, make_service


def make_book(*models: str) -> EngineBook:
    """Return a book that has read its engine's report at time 1."""
    book = EngineBook(make_entry("u0", *models), make_service().engine, float("-inf"), 0.0)
    residents = {model: frozenset() for model in models}
    assert book.take_report(EngineReport(residents, False, 0), 1.0, 1.0)
    return book


class ReportTest(unittest.TestCase):
    """Which reports are believed."""

    def test_load_of_an_earlier_coordinator_takes_its_memory(self):
        """Guards against LIMIT: a load in progress is not among the residents (hunt 00f1)."""
        book = EngineBook(make_entry("u0", "m0"), make_service().engine, float("-inf"), 0.0)
        busy = EngineReport({"m0": frozenset()}, True, 4)
        self.assertFalse(book.take_report(busy, 1.0, 1.0))
        self.assertFalse(book.is_ready(1.0))
        done = EngineReport({"m0": frozenset(), "m1": frozenset()}, False, 4)
        self.assertTrue(book.take_report(done, 2.0, 2.0))
        self.assertLess(book.free_mb, 100.0)

    def test_report_older_than_the_last_order_is_not_used(self):
        """Guards against forgetting an order that the report could not show yet."""
        book = make_book("m0")
        book.begin(FleetOrder(OrderKind.LOAD_MODEL, "m1", 0), 2.0)
        book.settle(OrderAnswer.ACCEPTED, 2.01)
        before = EngineReport({"m0": frozenset()}, False, 0)
        self.assertFalse(book.take_report(before, 2.1, 2.2))
        self.assertIs(book.copies["m1"].state, CopyState.LOADING)

    def test_adapter_places_count_what_is_in_transit(self):
        """Guards against LIMIT: adapters under way occupy places."""
        book = make_book("m0")
        report = EngineReport(
            {"m0": frozenset({"a1"})}, False, 2, adapters_in_transit=frozenset({("m0", "a2")})
        )
        book.take_report(report, 3.0, 3.0)
        self.assertEqual(book.free_slots, 2)

    def test_report_tells_which_weights_are_at_hand(self):
        """Guards against CEILING: while the registry is away, an entry lists weights on the
        engine's disk that have given way to later loads (grown hunt 93e4-7).
        """
        entry = make_entry("u0", "m0", on_disk=("m1",))
        book = EngineBook(entry, make_service().engine, float("-inf"), 0.0)
        self.assertFalse(book.is_cold("m1"))
        report = EngineReport({"m0": frozenset()}, False, 4, on_disk=frozenset({"m0", "m2"}))
        self.assertTrue(book.take_report(report, 1.0, 1.0))
        self.assertTrue(book.is_cold("m1"))
        self.assertFalse(book.is_cold("m2"))
        book.take_entry(replace(entry, on_disk=frozenset({"m0", "m1"})), 2.0)
        self.assertFalse(book.is_cold("m1"))


class EntryTest(unittest.TestCase):
    """What registry entries prove."""

    def test_entry_older_than_the_load_does_not_end_an_unload(self):
        """Guards against LIMIT: memory counted as free while the unload waits for its runs."""
        book = make_book("m0", "m1")
        stale = replace(book.entry, residents={"m0": frozenset()})
        book.entry = stale
        book.begin(FleetOrder(OrderKind.UNLOAD_MODEL, "m1", 0), 2.0)
        book.settle(OrderAnswer.ACCEPTED, 2.01)
        book.take_entry(replace(stale, slots=9), 2.1)
        self.assertIn("m1", book.copies)

    def test_change_of_the_entry_ends_a_load_and_an_unload(self):
        """Guards against waiting for a report where the engine has told already."""
        book = make_book("m0", "m1")
        book.begin(FleetOrder(OrderKind.UNLOAD_MODEL, "m1", 0), 2.0)
        book.settle(OrderAnswer.ACCEPTED, 2.01)
        book.take_entry(replace(book.entry, residents={"m0": frozenset()}), 2.1)
        self.assertNotIn("m1", book.copies)
        book.begin(FleetOrder(OrderKind.LOAD_MODEL, "m2", 1), 2.2)
        book.settle(OrderAnswer.ACCEPTED, 2.21)
        residents = {"m0": frozenset(), "m2": frozenset()}
        book.take_entry(replace(book.entry, residents=residents), 3.4)
        self.assertTrue(book.live("m2"))


class AnswerTest(unittest.TestCase):
    """What the answers to orders lead to."""

    def test_order_without_answer_is_repeated_with_its_count(self):
        """Guards against two competing orders that could both be obeyed."""
        book = make_book("m0")
        order = FleetOrder(OrderKind.LOAD_MODEL, "m1", 0)
        book.begin(order, 2.0)
        self.assertEqual(book.settle(OrderAnswer.UNKNOWN, 2.4), order)
        self.assertLess(book.free_mb, 100.0)

    def test_conflict_needs_a_new_report(self):
        """Guards against orders on a count that is known to be wrong."""
        book = make_book("m0")
        book.begin(FleetOrder(OrderKind.LOAD_MODEL, "m1", 0), 2.0)
        self.assertIsNone(book.settle(OrderAnswer.CONFLICT, 2.01))
        self.assertFalse(book.is_ready(2.02))
        self.assertFalse(book.wants_report(2.1))
        self.assertTrue(book.wants_report(2.5))

    def test_other_instance_makes_the_engine_doubtful_for_a_while(self):
        """Guards against loads on an engine that crashed but is still registered (scale-1)."""
        book = make_book("m0")
        book.begin(FleetOrder(OrderKind.LOAD_MODEL, "m1", 0), 2.0)
        book.settle(OrderAnswer.OTHER_INSTANCE, 2.01)
        self.assertTrue(book.is_doubtful(2.1))
        self.assertFalse(book.is_doubtful(5.0))

    def test_orders_wait_out_the_handover(self):
        """Guards against ONE: two holders that take turns at one engine."""
        book = EngineBook(make_entry("u0"), make_service().engine, 8.0, 11.0)
        self.assertTrue(book.take_report(EngineReport({}, False, 3), 9.0, 9.0))
        self.assertFalse(book.is_ready(10.9))
        self.assertTrue(book.is_ready(11.0))


class MemoryTest(unittest.TestCase):
    """What counts as used memory."""

    def test_adapter_places_are_set_aside(self):
        """Guards against LIMIT: adapters that are loaded later need memory too."""
        book = make_book("m0")
        self.assertEqual(book.free_mb, 210.0 - 100.0 - 4 * 1.0)

    def test_withdrawn_copy_keeps_its_memory(self):
        """Guards against LIMIT: a load before the unload is done."""
        book = make_book("m0", "m1")
        book.withdraw("m1", "m2", 2.0)
        self.assertLess(book.free_mb, 100.0)
        self.assertFalse(book.live("m1"))
