"""Tests for the detection of leaving and crashed upstreams."""

import unittest
from unittest.mock import patch

from result import Err, Ok

from ...http import HttpClient, HttpError
from ...metrics import Metrics
from ...routing import LoadReport, UpstreamState
from .. import upstream_watch
from ..engine_poll import EngineView
from ..upstream_watch import UpstreamWatch


class FakeRouter:
    """Records the last state of each upstream."""

    def __init__(self) -> None:
        self.states: dict[str, UpstreamState] = {}

    def update_residency(self, upstream, copies, state, now):
        """Record a state."""
        self.states[upstream] = state
        return ()


class FakeDriver:
    """A driver with a fake router."""

    def __init__(self) -> None:
        self.router = FakeRouter()

    def apply(self, actions) -> None:
        """Ignore the actions."""


def make_view(instance: str) -> EngineView:
    """Return a view of engine u1."""
    return EngineView("u1", instance, (), False, 100, 0, LoadReport("u1", 0, 0, 0.0))


class LeavingTest(unittest.TestCase):
    """An upstream watch without sockets."""

    def setUp(self) -> None:
        self.leaving_sets: list[frozenset[str]] = []
        self.observed: list[frozenset[str]] = []
        self.watch = UpstreamWatch(
            FakeDriver(),
            None,
            HttpClient(),
            Metrics(),
            self.leaving_sets.append,
            self.observed.append,
        )

    def record_status(self, *, leaving: bool) -> None:
        """Record one status of engine u1."""
        load = LoadReport("u1", 0, 0, 0.0)
        self.watch._record_view(EngineView("u1", "i", (), leaving, 100, 0, load))

    def test_peer_reports_are_not_forwarded(self):
        """Guards against nodes that repeat a leaving upstream to each other endlessly."""
        for _ in range(3):
            self.watch.apply_peer_leaving(("u1",))
        self.assertEqual(self.observed, [])
        self.assertEqual(self.leaving_sets, [frozenset({"u1"})])

    def test_observed_leaving_is_reported_once(self):
        """Guards against a node that does not report, or repeatedly reports, a leaving engine."""
        for _ in range(3):
            self.record_status(leaving=True)
        self.assertEqual(self.observed, [frozenset({"u1"})])

    def test_own_status_overrides_peer_report(self):
        """Guards against an upstream that is never used again after a wrong report."""
        self.watch.apply_peer_leaving(("u1",))
        self.record_status(leaving=False)
        self.assertEqual(self.watch.state_of("u1"), UpstreamState.LIVE)


class CrashDetectionTest(unittest.IsolatedAsyncioTestCase):
    """Status requests after the connection of a request to an engine broke."""

    def setUp(self) -> None:
        self.watch = UpstreamWatch(
            FakeDriver(), None, HttpClient(), Metrics(), lambda _: None, lambda _: None
        )
        self.watch._record_view(make_view("i1"))

    async def is_running(self, *answers, instance="i1") -> bool:
        """Return whether the watch considers the engine running, given its status answers."""
        with patch.object(upstream_watch, "read_engine_status", side_effect=answers):
            return await self.watch.is_running("u1", instance)

    async def test_restarted_engine_has_crashed(self):
        """Guards against a crash that is classified as the loss of one connection.

        It happens if the engine restarts before its status is read. The request that crashes
        engines is then not suspected.
        """
        self.assertFalse(await self.is_running(Ok(make_view("i2"))))
        self.assertEqual(self.watch.instance_of("u1"), "i2")

    async def test_same_instance_has_not_crashed(self):
        """Guards against suspects without a crash, after the loss of one connection."""
        self.assertTrue(await self.is_running(Ok(make_view("i1"))))
        self.assertTrue(await self.is_running(Ok(make_view("i2")), instance=""))

    async def test_broken_status_request_is_repeated(self):
        """Guards against a crash that is classified as the loss of one connection.

        It happens if the status is requested while the engine's listener is closing.
        """
        broken = Err(HttpError("receive_head", "u1", True, "closed"))
        refused = Err(HttpError("connect", "u1", False, "refused"))
        self.assertFalse(await self.is_running(broken, refused))
        self.assertTrue(await self.is_running(broken, Ok(make_view("i1"))))

    async def test_refused_connection_is_a_crash(self):
        """Guards against requests to an engine that is down."""
        self.assertFalse(await self.is_running(Err(HttpError("connect", "u1", False, "refused"))))
        self.assertEqual(self.watch.state_of("u1"), UpstreamState.GONE)
