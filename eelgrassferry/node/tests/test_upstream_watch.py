"""Tests of what a node concludes about its upstreams."""

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


def make_view(instance: str) -> EngineView:
    """Return a status of engine u1."""
    return EngineView("u1", instance, (), False, 100, 0, LoadReport("u1", 0, 0, 0.0))


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


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """What a node concludes when a request's connection to an engine breaks."""

    def setUp(self) -> None:
        self.watch = UpstreamWatch(
            FakeDriver(), None, HttpClient(), Metrics(), lambda _: None, lambda _: None
        )
        self.watch._note_view(make_view("i1"))

    async def check(self, *answers, instance="i1") -> bool:
        """Return what the watch concludes from an engine's answers to its questions."""
        with patch.object(upstream_watch, "read_engine_status", side_effect=answers):
            return await self.watch.is_running("u1", instance)

    async def test_engine_that_is_back_already_has_crashed(self):
        """Guards against a crash that is taken for one lost connection, because the engine was
        back before it was asked: the request that crashes engines is then not suspected.
        """
        self.assertFalse(await self.check(Ok(make_view("i2"))))
        self.assertEqual(self.watch.instance_of("u1"), "i2")

    async def test_same_instance_has_lost_a_connection(self):
        """Guards against suspects without a crash."""
        self.assertTrue(await self.check(Ok(make_view("i1"))))
        self.assertTrue(await self.check(Ok(make_view("i2")), instance=""))

    async def test_broken_question_is_asked_again(self):
        """Guards against a crash that is taken for one lost connection, because the question was
        asked while the engine's listener was just closing.
        """
        broken = Err(HttpError("receive_head", "u1", True, "closed"))
        refused = Err(HttpError("connect", "u1", False, "refused"))
        self.assertFalse(await self.check(broken, refused))
        self.assertTrue(await self.check(broken, Ok(make_view("i1"))))

    async def test_refused_connection_is_a_crash(self):
        """Guards against an engine that is down and still used."""
        self.assertFalse(await self.check(Err(HttpError("connect", "u1", False, "refused"))))
        self.assertEqual(self.watch.state_of("u1"), UpstreamState.GONE)
