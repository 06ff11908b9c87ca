"""Tests of what nodes know of the coordinator's orders."""

import unittest

from ...placement import OrderKind
from .. import FleetOrder, OrderAnswer, OrderHistory, OrderNews
from ..engine_book import EngineBook
from .fixtures import BOUNDS, make_entry, make_service
from .fleet_model import FleetModel


class OrderHistoryTest(unittest.TestCase):
    """News that name changes only."""

    def setUp(self):
        self.history = OrderHistory(BOUNDS)

    def test_nothing_is_known_without_complete_news(self):
        """Guards against CEILING: changes alone do not tell what was ordered before."""
        self.history.take(OrderNews({"u1": 1.0}, {"chat": (1.0,)}), complete=False, now=1.0)
        self.assertIsNone(self.history.inheritance(1.0).cold_loads)

    def test_changes_add_up(self):
        """Guards against orders that a successor forgets because later news do not name them."""
        self.history.take(
            OrderNews({"u1": 1.0}, {"chat": (1.0,)}, {"chat": 2}), complete=True, now=1.0
        )
        self.history.take(OrderNews({"u2": 2.0}, {"chat": (2.0,)}), complete=False, now=2.0)
        known = self.history.inheritance(3.0)
        self.assertEqual(known.last_orders, {"u1": 1.0, "u2": 2.0})
        self.assertEqual(known.cold_loads, {"chat": (1.0, 2.0, 3.0, 3.0)})
        self.history.take(OrderNews({}, {}, {"chat": 0}), complete=False, now=4.0)
        self.assertEqual(self.history.inheritance(4.0).cold_loads, {"chat": (1.0, 2.0)})

    def test_old_orders_are_dropped(self):
        """Guards against a history that grows for as long as a coordinator lives."""
        self.history.take(OrderNews({"u1": 1.0}, {"chat": (1.0,)}), complete=True, now=1.0)
        self.history.take(OrderNews({"u2": 9.0}, {"chat": (9.0,)}), complete=False, now=9.0)
        known = self.history.inheritance(9.0)
        self.assertEqual(known.last_orders, {"u2": 9.0})
        self.assertEqual(known.cold_loads, {"chat": (9.0,)})


class OrderNewsTest(unittest.TestCase):
    """What a coordinator tells."""

    def test_news_name_changes_and_add_up_to_the_whole(self):
        """Guards against views that grow with the fleet, and against news that are never told."""
        fleet = FleetModel(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        history = OrderHistory(BOUNDS)
        history.take(fleet.coordinator.told_order_news(0.0), complete=True, now=0.0)
        told = 0
        for step in range(60):
            fleet.ask_for({(f"m{step % 6}", f"a{step % 5}"): 1}, {f"m{step % 6}": 2})
            fleet.run(0.1)
            if fleet.coordinator.has_order_news():
                news = fleet.coordinator.take_order_news(fleet.now)
                told += len(news.last_orders)
                history.take(news, complete=False, now=fleet.now)
        self.assertLessEqual(told, len(fleet.orders) + 2)
        self.assertFalse(fleet.coordinator.has_order_news())
        known = history.inheritance(fleet.now)
        for instance, book in fleet.coordinator.books.items():
            self.assertGreaterEqual(known.last_orders[instance], book.last_order_at)


class ArrivalTest(unittest.TestCase):
    """The time by which the last order to an engine arrived."""

    def setUp(self):
        self.book = EngineBook(
            make_entry("u0", "m0"), make_service().engine, float("-inf"), float("-inf")
        )
        self.order = FleetOrder(OrderKind.LOAD_MODEL, "m1", 0)

    def test_order_counts_until_its_answer(self):
        """Guards against ONE: an order of a slow link arrives later than it was given, and its
        successor's less than a handover after it (soak seed 4).
        """
        self.book.begin(self.order, 1.0)
        self.assertGreaterEqual(self.book.last_order_at, 1.4)
        self.book.settle(OrderAnswer.ACCEPTED, 1.1)
        self.assertEqual(self.book.last_order_at, 1.1)

    def test_order_without_answer_may_arrive_later(self):
        """Guards against ONE: the answer to a repeat says nothing of the first try."""
        self.book.begin(self.order, 1.0)
        self.book.settle(OrderAnswer.UNKNOWN, 1.35)
        self.book.settle(OrderAnswer.ACCEPTED, 1.4)
        self.assertGreater(self.book.last_order_at, 1.7)
