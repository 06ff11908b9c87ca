"""Tests of what a node concludes about its upstreams."""

import unittest

from ...http import HttpClient
from ...metrics import Metrics
from ...routing import LoadReport, UpstreamState
from ..engine_poll import EngineView
from ..upstream_watch import UpstreamWatch


class FakeRouter:
    """Keeps the last state of each upstream."""

    def __init__(self) -> None:
        self.states: dict[str, UpstreamState] = {}

    def update_residency(self, upstream, copies, state, now):
        """Take a state."""
        self.states[upstream] = state
        return ()


class FakeDriver:
    """A driver around the fake router."""

    def __init__(self) -> None:
        self.router = FakeRouter()

    def apply(self, actions) -> None:
        """Take no actions."""


class LeavingTest(unittest.TestCase):
    """One watch without sockets."""

    def setUp(self) -> None:
        self.told: list[frozenset[str]] = []
        self.seen: list[frozenset[str]] = []
        self.watch = UpstreamWatch(
            FakeDriver(), None, HttpClient(), Metrics(), self.told.append, self.seen.append
        )

    def note_status(self, *, leaving: bool) -> None:
        """Hand the watch one status of engine u1."""
        load = LoadReport("u1", 0, 0, 0.0)
        self.watch._note_view(EngineView("u1", "i", (), leaving, 100, 0, load))

    def test_what_peers_told_is_not_passed_on(self):
        """Guards against nodes that repeat a leaving upstream to each other without end."""
        for _ in range(3):
            self.watch.learn_leaving(("u1",))
        self.assertEqual(self.seen, [])
        self.assertEqual(self.told, [frozenset({"u1"})])

    def test_own_sight_is_passed_on_once(self):
        """Guards against a node that keeps to itself, or repeats, that an engine leaves."""
        for _ in range(3):
            self.note_status(leaving=True)
        self.assertEqual(self.seen, [frozenset({"u1"})])

    def test_own_status_corrects_a_wrong_notice(self):
        """Guards against an upstream that is never used again after a wrong notice."""
        self.watch.learn_leaving(("u1",))
        self.note_status(leaving=False)
        self.assertEqual(self.watch.state_of("u1"), UpstreamState.LIVE)
