"""Tests of the choice of an engine for an adapter."""

import unittest

from ...placement import OrderKind
from .. import EngineReport
from ..adapter_places import place_adapter
from ..engine_book import EngineBook
from .fixtures import make_entry, make_service


def make_book(instance: str, *adapters: str) -> EngineBook:
    """Return the ready book of an engine that holds m0 and some adapters of it."""
    entry = make_entry(instance, "m0")
    book = EngineBook(entry, make_service().engine, float("-inf"), 0.0)
    assert book.take_report(EngineReport({"m0": frozenset(adapters)}, False, 3), 1.0, 1.0)
    return book


class PlaceTest(unittest.TestCase):
    """Where an adapter goes."""

    def test_least_busy_engine_with_a_free_place(self):
        """Guards against adapters that pile up on a busy engine."""
        books = [make_book("u0"), make_book("u1", "a1")]
        book, order = place_adapter("m0", "a5", books, [("m0", "a5")], {"u0": 9.0}, 2.0)
        self.assertEqual((book.instance, order.kind), ("u1", OrderKind.LOAD_ADAPTER))

    def test_adapter_under_way_is_not_ordered_again(self):
        """Guards against one adapter on every engine."""
        books = [make_book("u0", "a5"), make_book("u1")]
        self.assertIsNone(place_adapter("m0", "a5", books, [("m0", "a5")], {}, 2.0))

    def test_recently_used_and_awaited_adapters_stay(self):
        """Guards against adapters that evict one another."""
        book = make_book("u0", "a1", "a2", "a3", "a4")
        book.used_at = {("m0", f"a{i}"): 9.9 for i in range(1, 5)}
        self.assertIsNone(place_adapter("m0", "a5", [book], [("m0", "a5")], {}, 10.0))
        book.used_at["m0", "a3"] = 2.0
        _, order = place_adapter("m0", "a5", [book], [("m0", "a5")], {}, 10.0)
        self.assertEqual((order.kind, order.adapter), (OrderKind.UNLOAD_ADAPTER, "a3"))
        awaited = [("m0", "a5"), ("m0", "a3")]
        self.assertIsNone(place_adapter("m0", "a5", [book], awaited, {}, 10.0))
