"""Tests of following the objects under a prefix."""

import asyncio
import unittest

from result import Err, Ok

from .. import (
    Change,
    FeedUpdate,
    HistoryGone,
    MonitoredStore,
    ObjectFeed,
    Snapshot,
    StoredObject,
    Unavailable,
    WatchResult,
)

DOWN = Err(Unavailable("watch", "store", "reset", uncertain=False))


class ScriptedStore:
    """Answers listings and watches from a script; the feed ends with the script."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def snapshot(self, prefix):
        return self._next("list")

    async def watch(self, prefix, after, timeout_s):
        return self._next(("watch", after))

    async def get(self, key):
        return self._next(("get", key))

    def _next(self, call):
        if not self.answers:
            raise asyncio.CancelledError
        self.asked.append(call)
        return self.answers.pop(0)


class ObjectFeedTest(unittest.IsolatedAsyncioTestCase):
    """One feed against scripted answers, on a clock that its pauses move."""

    def setUp(self):
        self.pauses = []

    async def follow(self, *answers):
        self.now = 0.0
        self.updates = []
        store = ScriptedStore(*answers)
        self.feed = ObjectFeed(
            MonitoredStore(store, lambda: self.now),
            "servers/",
            self.updates.append,
            lambda: self.now,
            self.pause,
        )
        with self.assertRaises(asyncio.CancelledError):
            await self.feed.run()
        return store

    async def pause(self, seconds):
        self.pauses.append(seconds)
        self.now += seconds

    async def test_watch_goes_on_from_the_listing(self):
        """Guards against a gap between a listing and the first watch."""
        change = Change("servers/u2", 7, False, b"2")
        store = await self.follow(
            Ok(Snapshot(5, (StoredObject("servers/u1", 4, b"1"),))), Ok(WatchResult(7, (change,)))
        )
        self.assertEqual(store.asked, ["list", ("watch", 5)])
        self.assertEqual(set(self.feed.objects), {"servers/u1", "servers/u2"})

    async def test_dropped_history_leads_to_a_new_listing(self):
        """Guards against missing what changed in history that the store has dropped."""
        await self.follow(
            Ok(Snapshot(5, (StoredObject("servers/u1", 4, b"1"),))),
            Err(HistoryGone("watch", "store", "servers/")),
            Ok(Snapshot(9, ())),
        )
        self.assertEqual(self.updates[-1].removed, ("servers/u1",))
        self.assertFalse(self.updates[-1].after_outage)

    async def test_outage_is_told_and_a_short_cut_is_not(self):
        """Guards against treating a cut watch as an outage, in which entries may have lapsed."""
        listed = Ok(Snapshot(5, ()))
        await self.follow(listed, DOWN, Ok(WatchResult(6, ())))
        self.assertFalse(any(update.after_outage for update in self.updates))
        await self.follow(listed, DOWN, DOWN, DOWN, DOWN, DOWN, Ok(WatchResult(6, ())))
        self.assertTrue(self.updates[-1].after_outage)

    async def test_outage_that_only_other_calls_saw(self):
        """Guards against dropping all upstreams when a watch outlives an outage and brings the
        removals of lapsed registrations (day store-silent-and-lapsing).
        """
        self.now, self.updates = 0.0, []
        gone = Change("servers/u1", 9, True)
        script = ScriptedStore(
            Ok(Snapshot(5, (StoredObject("servers/u1", 4, b"1"),))), Ok(WatchResult(9, (gone,)))
        )
        store = MonitoredStore(script, lambda: self.now)
        feed = ObjectFeed(store, "servers/", self.updates.append, lambda: self.now, self.pause)
        await feed._list()
        script.answers.insert(0, DOWN)
        await store.get("leases/x")
        self.now = 5.0
        await feed._watch()
        self.assertTrue(self.updates[-1].after_outage)

    async def test_copy_of_a_peer_never_goes_back(self):
        """Guards against an older copy that undoes what this node knows."""
        await self.follow(Ok(Snapshot(5, (StoredObject("servers/u1", 4, b"1"),))))
        self.assertFalse(self.feed.take_from_peer(5, (), 0.0))
        self.assertTrue(self.feed.take_from_peer(6, (), 0.0))
        self.assertEqual(self.feed.objects, {})

    async def test_copy_of_a_peer_is_as_old_as_the_peer_says(self):
        """Guards against an unknown age at a node that starts while the store is away: its log
        lines then failed and its requests were lost.
        """
        await self.follow()
        self.now = 10.0
        self.assertEqual(self.feed.age_s, float("inf"))
        self.assertTrue(self.feed.take_from_peer(6, (), 4.0))
        self.assertEqual(self.feed.age_s, 4.0)
        self.assertFalse(self.feed.take_from_peer(6, (), 1.0))
        self.assertEqual(self.feed.age_s, 1.0)
        self.assertFalse(self.feed.take_from_peer(5, (), 0.0))
        self.assertEqual(self.feed.age_s, 1.0)

    async def test_relayed_changes_need_what_came_before(self):
        """Guards against changes that are applied over a gap."""
        await self.follow(Ok(Snapshot(5, ())))
        late = FeedUpdate(False, 9, (StoredObject("servers/u1", 9, b"1"),), (), base=7)
        self.assertFalse(self.feed.take_relayed(late))
        self.assertEqual(self.feed.version, 5)

    async def test_relayed_changes_that_are_known_are_skipped(self):
        """Guards against an older value over a newer one when two sources overlap."""
        await self.follow(Ok(Snapshot(8, (StoredObject("servers/u1", 8, b"new"),))))
        old = FeedUpdate(False, 9, (StoredObject("servers/u1", 6, b"old"),), (), base=5)
        self.assertTrue(self.feed.take_relayed(old))
        self.assertEqual(self.feed.objects["servers/u1"].value, b"new")
        self.assertEqual(self.feed.version, 9)

    async def test_store_is_asked_less_often_by_many_nodes(self):
        """Guards against calls of the store that grow with the nodes: while no coordinator watched
        it for all, 70 nodes made thousands of calls (grown scale-1).
        """
        await self.follow()
        self.feed.stretch = lambda: 8.0
        self.feed._store = ScriptedStore(Ok(Snapshot(5, ())), Ok(WatchResult(6, ())))
        self.feed._store.had_outage_since = lambda _at: False
        before = self.now
        with self.assertRaises(asyncio.CancelledError):
            await self.feed.run()
        # Two calls, each at most every 0.4 s; a change is to be in force within 2 s.
        self.assertGreaterEqual(self.now - before, 0.8)
        self.assertLessEqual(self.now - before, 2.0)
        self.feed._store.answers = [DOWN, DOWN]
        before = self.now
        with self.assertRaises(asyncio.CancelledError):
            await self.feed.run()
        self.assertAlmostEqual(self.now - before, 3.0)

    async def test_watches_that_are_answered_at_once_are_asked_less_often(self):
        """Guards against twenty watches a second of servers that write all the time, and against
        a rare change that waits (a node's registration just before the store goes down).
        """
        watched = [Ok(WatchResult(version, ())) for version in range(6, 14)]
        await self.follow(Ok(Snapshot(5, ())), *watched)
        self.assertAlmostEqual(self.pauses[0], 0.05)
        self.assertAlmostEqual(self.pauses[-1], 0.2)
        at_once = self.feed._store.watch

        async def after_a_while(*args):
            self.now += 1.0
            self.feed._store.watch = at_once
            return Ok(WatchResult(14, ()))

        self.pauses.clear()
        self.feed._store.watch = after_a_while
        self.feed._store._store.answers = [Ok(WatchResult(15, ()))]
        with self.assertRaises(asyncio.CancelledError):
            await self.feed.run()
        self.assertAlmostEqual(self.pauses[0], 0.05)

    async def test_store_is_not_asked_while_changes_are_relayed(self):
        """Guards against every node watching the store."""
        self.now = 0.0
        store = ScriptedStore(Ok(Snapshot(5, ())))
        monitored = MonitoredStore(store, lambda: self.now)
        feed = ObjectFeed(monitored, "servers/", lambda _update: None, lambda: self.now, self.pause)
        feed.is_relayed = lambda: self.now < 1.0
        with self.assertRaises(asyncio.CancelledError):
            await feed.run()
        self.assertGreaterEqual(self.now, 1.0)
        self.assertEqual(store.asked, ["list"])
