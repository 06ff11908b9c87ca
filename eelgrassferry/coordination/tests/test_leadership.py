"""Tests of what a coordinator tells the nodes that connect to it."""

import unittest
from unittest.mock import Mock

from ...dispatch import PaceBook, PaceSeen
from ...fleet import EntrySettings, FleetConfig, UpstreamDirectory
from ...leases import LeaseTerm
from ...metrics import Metrics
from ...ordering import EngineReport, NodeStatus, OrderNews
from ...ordering.tests.fixtures import make_entry, make_service
from ..leadership import Leadership
from ..messages import (
    FleetView,
    ViewReply,
    decode_status,
    decode_view,
    encode_status,
    encode_view,
)


def make_leadership(epoch, sole_host_since=None, publish=lambda _view: None):
    """Return the leadership of a node that takes the lease at time 10, with one engine."""
    settings = EntrySettings("n1", "a", "", "", "", "", first_start=False)
    directory = UpstreamDirectory()
    directory.replace({"u0": make_entry("u0", "m0")}, 0.0)
    lease = Mock(handover_s=3.4, version=7, store_lost=False)
    lease.term.return_value = LeaseTerm(epoch, 99.0, frozenset(), sole_host_since)
    leadership = Leadership(
        settings, lease, directory, Mock(), lambda: 10.0, Metrics(), publish, PaceBook()
    )
    leadership.set_config(FleetConfig(1, (), {"chat": make_service()}))
    return leadership


class SuccessorTest(unittest.TestCase):
    """A coordinator that follows another one, before its first plan."""

    def test_node_that_connects_at_once_hears_of_earlier_orders(self):
        """Guards against ONE and CEILING: the next successor would know nothing of what the one
        before has ordered.
        """
        leadership = make_leadership(epoch=2)
        news = OrderNews({"u0": 9.0}, {"chat": (8.0, 9.0)}, {"chat": 1})
        leadership.inherit(FleetView(1, 6, 3, orders=news, complete=True))
        leadership._follow_term()
        told = leadership.complete_view().orders
        self.assertGreaterEqual(told.last_orders["u0"], 9.0)
        self.assertEqual(told.cold_loads, {"chat": (8.0, 9.0, 10.0)})


class SharedPaceTest(unittest.TestCase):
    """What one node has seen of an engine's pace."""

    def test_all_nodes_learn_of_a_slow_engine(self):
        """Guards against prompts that queue at a slow engine until each of many nodes has found out
        by itself (grown trouble-2).
        """
        views = []
        leadership = make_leadership(epoch=2, publish=views.append)
        leadership._follow_term()
        seen = tuple(PaceSeen("u0", "m0", 4.0) for _ in range(20))
        leadership.take_status(NodeStatus("n2", paces=seen))
        leadership.publish_loads()
        body = encode_view(views[-1], 10.0)
        paces = decode_view(body, 10.0).unwrap().paces
        pace = PaceBook()
        pace.take(paces)
        self.assertGreater(pace.factor("u0", "m0"), 3.0)
        self.assertEqual(leadership.complete_view().paces.upstreams.keys(), {"u0"})

    def test_own_observations_count_once(self):
        """Guards against a coordinator's own runs that weigh twice as much as those of others."""
        leadership = make_leadership(epoch=2)
        leadership._follow_term()
        leadership.take_status(NodeStatus("n1", paces=(PaceSeen("u0", "m0", 4.0),)))
        self.assertFalse(leadership._pace.factors)

    def test_status_carries_observations(self):
        """Guards against observations that are lost on the way."""
        status = NodeStatus("n2", paces=(PaceSeen("u0", "m0", 4.0),))
        body = encode_status(status, ViewReply(0.0, False))
        self.assertEqual(decode_status(body).unwrap()[0].paces, status.paces)


class RestartTest(unittest.TestCase):
    """A node that was killed while it coordinated, and takes its own lease again."""

    def test_orders_of_the_holder_before_keep_their_distance(self):
        """Guards against ONE: the process that was killed had taken over a moment before, and the
        new one does not know when the holder before it gave its last orders (soak seed 47).
        """
        leadership = make_leadership(epoch=3)
        leadership._follow_term()
        book = leadership.coordinator.books["u0"]
        report = EngineReport({"m0": frozenset()}, False, 4)
        book.take_report(report, 11.0, 11.1)
        self.assertFalse(book.is_ready(11.1))

    def test_lease_that_its_host_held_for_long_needs_no_wait(self):
        """Guards against engines without orders after each restart of a coordinator."""
        leadership = make_leadership(epoch=3, sole_host_since=5.0)
        leadership._follow_term()
        book = leadership.coordinator.books["u0"]
        book.take_report(EngineReport({"m0": frozenset()}, False, 4), 11.0, 11.1)
        self.assertTrue(book.is_ready(11.1))
