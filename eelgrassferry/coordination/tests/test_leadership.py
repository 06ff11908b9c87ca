"""Tests of the state that a coordinator takes over and sends to other nodes."""

import unittest
from unittest.mock import Mock

from ...dispatch import (
    CoordinatorResidency,
    CrashAnalyzer,
    PrefillSlownessEstimator,
    SlownessSample,
    UpstreamNotices,
)
from ...fleet import EntrySettings, FleetConfig, UpstreamDirectory
from ...leases import LeaseTerm
from ...metrics import Metrics
from ...ordering import EngineReport, NodeStatus, OrderUpdate
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
    """Return the leadership of a node that acquires the lease at time 10, with one engine."""
    settings = EntrySettings("n1", "a", "", "", "", "", first_start=False)
    directory = UpstreamDirectory()
    directory.replace({"u0": make_entry("u0", "m0")}, 0.0)
    lease = Mock(handover_s=3.4, version=7, store_lost=False)
    lease.term.return_value = LeaseTerm(epoch, 99.0, frozenset(), sole_host_since)
    leadership = Leadership(
        settings,
        lease,
        directory,
        Mock(),
        lambda: 10.0,
        Metrics(),
        publish,
        PrefillSlownessEstimator(),
        CrashAnalyzer(),
        UpstreamNotices(),
    )
    leadership.set_config(FleetConfig(1, (), {"chat": make_service()}))
    return leadership


class SuccessorTest(unittest.TestCase):
    """A coordinator that has taken over from another one, before its first plan."""

    def test_node_that_connects_at_once_receives_earlier_orders(self):
        """Guards against violations of ONE (overlapping orders of two coordinators to one engine)
        and CEILING (the limit of loads from the weight store): a node that connects at once and
        succeeds this coordinator would lack the orders of the one before.
        """
        leadership = make_leadership(epoch=2)
        update = OrderUpdate({"u0": 9.0}, {"chat": (8.0, 9.0)}, {"chat": 1})
        leadership.record_view(FleetView(1, 6, 3, orders=update, complete=True))
        leadership._apply_term()
        orders = leadership.complete_view().orders
        self.assertGreaterEqual(orders.last_orders["u0"], 9.0)
        self.assertEqual(orders.cold_loads, {"chat": (8.0, 9.0, 10.0)})

    def test_published_state_of_engines_is_taken_over(self):
        """Guards against a successor that orders a load again which its predecessor has ordered:
        the engine's report does not show it (scenario quiet-1 of a site with loads of 5.8 s).
        """
        leadership = make_leadership(epoch=2)
        known = CoordinatorResidency(1, frozenset({"m0"}), loading={"m1": 14.0})
        complete = FleetView(1, 6, 3, residency={"u9": known}, orders=OrderUpdate(), complete=True)
        leadership.record_view(complete)
        leadership.record_view(
            FleetView(1, 6, 3, residency={"u0": known}, orders=OrderUpdate(), complete=True)
        )
        leadership._apply_term()
        residency = leadership.complete_view().residency
        self.assertEqual(leadership.coordinator.residency(10.0), {"u0": known})
        self.assertNotIn("u9", residency)


class SharedSlownessTest(unittest.TestCase):
    """Prefill slowness samples of one node."""

    def test_slowness_factor_is_sent_to_all_nodes(self):
        """Guards against prompts that queue at a slow engine until each of many nodes has measured
        the slowness itself (enlarged scenario trouble-2).
        """
        views = []
        leadership = make_leadership(epoch=2, publish=views.append)
        leadership._apply_term()
        samples = tuple(SlownessSample("u0", "m0", 4.0) for _ in range(20))
        leadership.update_status(NodeStatus("n2", slowness_samples=samples))
        leadership.publish_loads()
        body = encode_view(views[-1], 10.0)
        factors = decode_view(body, 10.0).unwrap().slowness
        slowness = PrefillSlownessEstimator()
        slowness.update(factors)
        self.assertGreater(slowness.factor("u0", "m0"), 3.0)
        self.assertEqual(leadership.complete_view().slowness.upstreams.keys(), {"u0"})

    def test_own_observations_count_once(self):
        """Guards against a coordinator that weights its own samples twice as much as others'."""
        leadership = make_leadership(epoch=2)
        leadership._apply_term()
        leadership.update_status(
            NodeStatus("n1", slowness_samples=(SlownessSample("u0", "m0", 4.0),))
        )
        self.assertFalse(leadership._slowness.factors)

    def test_status_carries_samples(self):
        """Guards against samples that are lost in encoding or decoding."""
        status = NodeStatus("n2", slowness_samples=(SlownessSample("u0", "m0", 4.0),))
        body = encode_status(status, ViewReply(0.0, False), 0.0)
        self.assertEqual(
            decode_status(body, 0.0).unwrap()[0].slowness_samples, status.slowness_samples
        )


class RestartTest(unittest.TestCase):
    """A node that was killed while it was the coordinator and takes its own lease again."""

    def test_first_orders_wait_for_orders_of_an_unknown_holder(self):
        """Guards against a violation of ONE: the killed process had taken over just before, and the
        new one does not know when the previous holder sent its last orders (soak test with seed
        47).
        """
        leadership = make_leadership(epoch=3)
        leadership._apply_term()
        tracker = leadership.coordinator.trackers["u0"]
        report = EngineReport({"m0": frozenset()}, False, 4)
        tracker.apply_report(report, 11.0, 11.1)
        self.assertFalse(tracker.is_ready(11.1))

    def test_lease_long_held_by_the_same_host_needs_no_wait(self):
        """Guards against a pause of orders after every restart of a coordinator."""
        leadership = make_leadership(epoch=3, sole_host_since=5.0)
        leadership._apply_term()
        tracker = leadership.coordinator.trackers["u0"]
        tracker.apply_report(EngineReport({"m0": frozenset()}, False, 4), 11.0, 11.1)
        self.assertTrue(tracker.is_ready(11.1))
