"""Tests of the platform store's client against a stand-in of the store."""

import asyncio
import unittest

from result import Err, Ok

from ...http import HttpClient
from ...objects import Conflict, HistoryGone, Unavailable, era_of, revision_of
from ..object_store import PlatformObjectStore
from .standin_store import StandinStore


class ObjectStoreCase(unittest.IsolatedAsyncioTestCase):
    """A client and a stand-in of the store."""

    async def asyncSetUp(self):
        self.server = StandinStore()
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.store = PlatformObjectStore(self.client, await self.server.start())
        self.addAsyncCleanup(self.server.stop)


class ObjectStoreTest(ObjectStoreCase):
    """Conditional writes and watches."""

    async def test_create_replace_and_conflict(self):
        """Guards against a conditional write that overwrites a concurrent write."""
        version = (await self.store.put("leases/a", b'{"n":1}', 0)).unwrap()
        self.assertIsInstance((await self.store.put("leases/a", b"{}", 0)).err_value, Conflict)
        newer = (await self.store.put("leases/a", b'{"n":2}', version)).unwrap()
        self.assertGreater(newer, version)
        stale = await self.store.put("leases/a", b"{}", version)
        self.assertIsInstance(stale.err_value, Conflict)
        self.assertEqual((await self.store.get("leases/a")).unwrap().value, b'{"n":2}')
        self.assertEqual(await self.store.get("leases/none"), Ok(None))

    async def test_write_with_a_lost_response_is_uncertain(self):
        """Guards against reporting a write as failed that the store applied without answering."""
        self.server.answers_to_lose = 1
        result = await self.store.put("leases/a", b"{}", 0)
        self.assertTrue(result.err_value.uncertain)
        self.assertIsNotNone(self.server.spec("leases", "a"))

    async def test_rejected_write_is_not_uncertain(self):
        """Guards against reporting a write that the store rejected (503) as uncertain."""
        self.server.down = True
        result = await self.store.put("leases/a", b"{}", 0)
        self.assertIsInstance(result.err_value, Unavailable)
        self.assertFalse(result.err_value.uncertain)

    async def test_snapshot_and_watch(self):
        """Guards against a watch that misses changes made after the snapshot."""
        await self.server.write("servers", "u1", {"x": 1})
        snapshot = (await self.store.snapshot("servers/")).unwrap()
        self.assertEqual([obj.key for obj in snapshot.objects], ["servers/u1"])
        await self.server.write("servers", "u2", {"x": 2})
        await self.server.remove("servers", "u1")
        result = (await self.store.watch("servers/", snapshot.version, 1.0)).unwrap()
        changes = [(change.key, change.deleted) for change in result.changes]
        self.assertEqual(changes, [("servers/u2", False), ("servers/u1", True)])

    async def test_watch_before_the_retained_history_fails(self):
        """Guards against silently missing changes that the store no longer retains."""
        self.server.oldest_revision = 50
        result = await self.store.watch("servers/", 3, 1.0)
        self.assertIsInstance(result, Err)
        self.assertIsInstance(result.err_value, HistoryGone)


class RestoreTest(ObjectStoreCase):
    """The store comes back from a copy and gives revisions out again."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.version = (await self.store.put("leases/a", b'{"n":1}', 0)).unwrap()
        self.copy = self.server.make_copy()

    async def test_versions_of_the_new_era_are_later(self):
        """Guards against taking what is written after a restore for older than what was lost."""
        lost = (await self.store.put("leases/a", b'{"n":2}', self.version)).unwrap()
        self.server.restore(self.copy)
        restored = (await self.store.get("leases/a")).unwrap()
        self.assertGreater(restored.version, lost)
        self.assertEqual((era_of(restored.version), self.store.era), (2, 2))

    async def test_watch_from_before_the_restore_fails(self):
        """Guards against missing what was written below the watch's revision (review case 14)."""
        lost = (await self.store.put("leases/a", b'{"n":2}', self.version)).unwrap()
        self.server.restore(self.copy)
        for number in range(3):
            await self.server.write("leases", "b", {"n": number})
        for _ in range(2):
            watched = await self.store.watch("leases/", lost, 0.1)
            self.assertIsInstance(watched.err_value, HistoryGone)

    async def test_waiting_watch_ends_with_its_era(self):
        """Guards against a watch that delays the news of a restore by its whole wait."""
        watch = asyncio.ensure_future(self.store.watch("servers/", self.version, 5.0))
        await asyncio.sleep(0.05)
        self.server.restore(self.copy)
        await self.store.get("leases/a")
        async with asyncio.timeout(1.0):
            self.assertIsInstance((await watch).err_value, HistoryGone)

    async def test_write_on_a_lost_version_conflicts(self):
        """Guards against a write that meets another object under a revision given out again."""
        lost = (await self.store.put("leases/a", b'{"n":2}', self.version)).unwrap()
        self.server.restore(self.copy)
        again = await self.server.write("leases", "a", {"n": 3})
        self.assertEqual(again, revision_of(lost))
        await self.store.get("leases/none")
        written = await self.store.put("leases/a", b'{"n":4}', lost)
        self.assertIsInstance(written.err_value, Conflict)
        self.assertIsInstance((await self.store.delete("leases/a", lost)).err_value, Conflict)
        self.assertEqual(self.server.spec("leases", "a"), {"n": 3})

    async def test_write_that_met_a_new_era_is_uncertain(self):
        """Guards against a write that counts as one on the version that was read."""
        self.server.restore(self.copy)
        written = await self.store.put("leases/a", b'{"n":4}', self.version)
        self.assertTrue(written.err_value.uncertain)

    async def test_store_without_eras_has_plain_revisions(self):
        """Guards against other versions than before at a store that names no era."""
        self.server.era = 0
        store = PlatformObjectStore(self.client, self.server._server.address)
        revision = await self.server.write("leases", "b", {})
        self.assertEqual((await store.get("leases/b")).unwrap().version, revision)

    async def test_malformed_era_is_an_error(self):
        """Guards against a listing that is taken for one of era 0."""
        for era in ("x", "-1", "1e3", "9" * 30):
            self.server.era = era
            listed = await self.store.snapshot("leases/")
            self.assertIsInstance(listed.err_value, Unavailable, era)
        self.assertEqual(self.store.era, 1)
