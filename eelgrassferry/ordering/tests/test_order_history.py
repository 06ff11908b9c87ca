"""Tests of the order history that nodes keep."""

import unittest

from ...placement import OrderKind
from .. import FleetOrder, OrderAnswer, OrderHistory, OrderUpdate
from ..engine_tracker import EngineTracker
from .fixtures import BOUNDS, make_entry, make_service
from .simulated_fleet import SimulatedFleet


class OrderHistoryTest(unittest.TestCase):
    """Accumulation of updates that contain only changes."""

    def setUp(self):
        self.history = OrderHistory(BOUNDS)

    def test_history_is_unknown_without_a_complete_update(self):
        """Guards against exceeding the load rate: changes alone omit the earlier loads."""
        self.history.apply(OrderUpdate({"u1": 1.0}, {"chat": (1.0,)}), complete=False, now=1.0)
        self.assertIsNone(self.history.takeover(1.0).cold_loads)

    def test_changes_add_up(self):
        """Guards against a successor that misses orders because later updates omit them."""
        self.history.apply(
            OrderUpdate({"u1": 1.0}, {"chat": (1.0,)}, {"chat": 2}), complete=True, now=1.0
        )
        self.history.apply(OrderUpdate({"u2": 2.0}, {"chat": (2.0,)}), complete=False, now=2.0)
        known = self.history.takeover(3.0)
        self.assertEqual(known.last_orders, {"u1": 1.0, "u2": 2.0})
        self.assertEqual(known.cold_loads, {"chat": (1.0, 2.0, 3.0, 3.0)})
        self.history.apply(OrderUpdate({}, {}, {"chat": 0}), complete=False, now=4.0)
        self.assertEqual(self.history.takeover(4.0).cold_loads, {"chat": (1.0, 2.0)})

    def test_old_orders_are_dropped(self):
        """Guards against a history that grows during the whole term of a coordinator."""
        self.history.apply(OrderUpdate({"u1": 1.0}, {"chat": (1.0,)}), complete=True, now=1.0)
        self.history.apply(OrderUpdate({"u2": 9.0}, {"chat": (9.0,)}), complete=False, now=9.0)
        known = self.history.takeover(9.0)
        self.assertEqual(known.last_orders, {"u2": 9.0})
        self.assertEqual(known.cold_loads, {"chat": (9.0,)})


class OrderUpdateTest(unittest.TestCase):
    """Updates that a coordinator publishes."""

    def test_updates_contain_changes_and_add_up_to_the_whole(self):
        """Guards against updates that grow with the fleet, and against unpublished orders."""
        fleet = SimulatedFleet(make_service(), [make_entry("u0", "m0"), make_entry("u1", "m1")])
        history = OrderHistory(BOUNDS)
        history.apply(fleet.coordinator.full_order_update(0.0), complete=True, now=0.0)
        update_count = 0
        for step in range(60):
            fleet.report_demand({(f"m{step % 6}", f"a{step % 5}"): 1}, {f"m{step % 6}": 2})
            fleet.run(0.1)
            if fleet.coordinator.has_order_update():
                update = fleet.coordinator.pop_order_update(fleet.now)
                update_count += len(update.last_orders)
                history.apply(update, complete=False, now=fleet.now)
        self.assertLessEqual(update_count, len(fleet.orders) + 2)
        self.assertFalse(fleet.coordinator.has_order_update())
        known = history.takeover(fleet.now)
        for instance, tracker in fleet.coordinator.trackers.items():
            self.assertGreaterEqual(known.last_orders[instance], tracker.last_order_at)


class ArrivalTest(unittest.TestCase):
    """Latest time at which the last order to an engine can have arrived."""

    def setUp(self):
        self.tracker = EngineTracker(
            make_entry("u0", "m0"), make_service().engine, float("-inf"), float("-inf")
        )
        self.order = FleetOrder(OrderKind.LOAD_MODEL, "m1", 0)

    def test_order_counts_until_its_answer(self):
        """Guards against orders of two coordinators within the handover time: on a slow link, an
        order arrives so late that the successor's order follows too soon (soak test with seed 4).
        """
        self.tracker.begin_order(self.order, 1.0)
        self.assertGreaterEqual(self.tracker.last_order_at, 1.4)
        self.tracker.on_answer(OrderAnswer.ACCEPTED, 1.1)
        self.assertEqual(self.tracker.last_order_at, 1.1)

    def test_order_without_answer_may_arrive_later(self):
        """Guards against orders of two coordinators within the handover time: the answer to a
        repeated order does not show that the first attempt has arrived.
        """
        self.tracker.begin_order(self.order, 1.0)
        self.tracker.on_answer(OrderAnswer.UNKNOWN, 1.35)
        self.tracker.on_answer(OrderAnswer.ACCEPTED, 1.4)
        self.assertGreater(self.tracker.last_order_at, 1.7)
