"""Tests of the coordinator on machines with little processor time, in virtual time."""

import asyncio
import unittest
from itertools import pairwise
from unittest.mock import Mock

from ...dispatch import CrashAnalyzer, PrefillSlownessEstimator, UpstreamNotices
from ...fleet import EntrySettings, UpstreamDirectory
from ...leases import LeaseTerm
from ...metrics import Metrics
from ...ordering import NodeStatus, PendingDemand
from ..leadership import Leadership
from .virtual_time_loop import VirtualTimeLoop


class SlowCoordinator:
    """Coordinator without engines whose every plan takes ``plan_s`` seconds."""

    def __init__(self, loop: VirtualTimeLoop, plan_s: float) -> None:
        self.trackers = {}
        self.changes = -1
        self.plan_times = []
        self._loop, self._plan_s = loop, plan_s

    def decide(self, now):
        self.plan_times.append(now)
        self._loop.spend(self._plan_s)
        return []

    def update_status(self, status, now):
        pass

    def next_ready_at(self, now):
        return None


class WaitingRequestsOfManyNodesTest(unittest.TestCase):
    """Requests wait at many nodes, and each status that reports it asks for a plan."""

    PLAN_S = 0.03

    def setUp(self):
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        lease = Mock(handover_s=3.4, version=7, store_lost=False)
        lease.term.return_value = LeaseTerm(2, 99.0)
        self.leadership = Leadership(
            EntrySettings("n1", "a", "", "", "", "", first_start=False),
            lease,
            UpstreamDirectory(),
            Mock(),
            self.loop.time,
            Metrics(),
            lambda _view: None,
            PrefillSlownessEstimator(),
            CrashAnalyzer(),
            UpstreamNotices(),
        )
        self.coordinator = SlowCoordinator(self.loop, self.PLAN_S)
        self.leadership.coordinator = self.coordinator

    async def report_demand(self, seconds: float) -> None:
        """Receive statuses of nodes with waiting requests, 200 a second."""
        demand = (PendingDemand("chat", "m5", "", 1, 2.0),)
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            self.leadership.update_status(NodeStatus("n2", pending_demand=demand))
            await asyncio.sleep(0.005)

    def test_plans_leave_time_for_the_lease(self):
        """Guards against a coordinator that spends all its time on plans, renews its lease late
        and loses it (small scenario quiet-1 of the large site, on 0.12 cores).
        """
        self.loop.run_until_complete(self.report_demand(10.0))
        planning_s = len(self.coordinator.plan_times) * self.PLAN_S
        self.assertLess(planning_s, 0.5 * self.loop.time())

    def test_waiting_requests_are_planned_for_soon(self):
        """Guards against pauses between plans that make requests miss their latency targets."""
        self.loop.run_until_complete(self.report_demand(2.0))
        times = self.coordinator.plan_times
        self.assertLess(times[0], 0.1)
        self.assertLess(max(b - a for a, b in pairwise(times)), 0.4)

    def test_status_handler_does_not_plan(self):
        """Guards against frames of other nodes that wait while a plan runs for each of them."""
        demand = (PendingDemand("chat", "m5", "", 1, 2.0),)

        async def receive_together():
            for name in ("n2", "n3", "n4"):
                self.leadership.update_status(NodeStatus(name, pending_demand=demand))
            self.assertEqual(self.coordinator.plan_times, [])
            await asyncio.sleep(0.001)

        self.loop.run_until_complete(receive_together())
        self.assertEqual(len(self.coordinator.plan_times), 1)
