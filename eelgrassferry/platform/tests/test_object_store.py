"""Tests of the platform store's client against a stand-in of the store."""

import unittest

from result import Err, Ok

from ...http import HttpClient
from ...objects import Conflict, HistoryGone, Unavailable
from ..object_store import PlatformObjectStore
from .standin_store import StandinStore


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """Conditional writes and watches."""

    async def asyncSetUp(self):
        self.server = StandinStore()
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.store = PlatformObjectStore(self.client, await self.server.start())
        self.addAsyncCleanup(self.server.stop)

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
