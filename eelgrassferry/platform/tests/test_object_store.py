"""Tests of the client of the platform's store, against the stand-in."""

import unittest

from result import Err, Ok

from ...http import HttpClient
from ...objects import Conflict, HistoryGone, Unavailable
from ..object_store import PlatformObjectStore
from .standin_store import StandinStore


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """Conditional writes and watches."""

    async def asyncSetUp(self):
        self.far = StandinStore()
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.store = PlatformObjectStore(self.client, await self.far.start())
        self.addAsyncCleanup(self.far.stop)

    async def test_create_replace_and_conflict(self):
        """Guards against a write that overwrites another's."""
        version = (await self.store.put("leases/a", b'{"n":1}', 0)).unwrap()
        self.assertIsInstance((await self.store.put("leases/a", b"{}", 0)).err_value, Conflict)
        newer = (await self.store.put("leases/a", b'{"n":2}', version)).unwrap()
        self.assertGreater(newer, version)
        stale = await self.store.put("leases/a", b"{}", version)
        self.assertIsInstance(stale.err_value, Conflict)
        self.assertEqual((await self.store.get("leases/a")).unwrap().value, b'{"n":2}')
        self.assertEqual(await self.store.get("leases/none"), Ok(None))

    async def test_lost_answer_of_a_write_is_uncertain(self):
        """Guards against taking a write that was done for one that was not."""
        self.far.lose_answers = 1
        wrote = await self.store.put("leases/a", b"{}", 0)
        self.assertTrue(wrote.err_value.uncertain)
        self.assertIsNotNone(self.far.spec("leases", "a"))

    async def test_refused_write_is_certain(self):
        """Guards against treating a definite refusal as uncertain."""
        self.far.down = True
        wrote = await self.store.put("leases/a", b"{}", 0)
        self.assertIsInstance(wrote.err_value, Unavailable)
        self.assertFalse(wrote.err_value.uncertain)

    async def test_snapshot_and_watch(self):
        """Guards against changes that a watch does not report."""
        await self.far.write("servers", "u1", {"x": 1})
        found = (await self.store.snapshot("servers/")).unwrap()
        self.assertEqual([obj.key for obj in found.objects], ["servers/u1"])
        await self.far.write("servers", "u2", {"x": 2})
        await self.far.remove("servers", "u1")
        watched = (await self.store.watch("servers/", found.version, 1.0)).unwrap()
        seen = [(change.key, change.deleted) for change in watched.changes]
        self.assertEqual(seen, [("servers/u2", False), ("servers/u1", True)])

    async def test_history_that_is_gone(self):
        """Guards against missing changes that the store has dropped."""
        self.far.oldest = 50
        watched = await self.store.watch("servers/", 3, 1.0)
        self.assertIsInstance(watched, Err)
        self.assertIsInstance(watched.err_value, HistoryGone)
