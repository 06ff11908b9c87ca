"""Tests of nodes while other writers leave documents of any content in the store."""

import asyncio
import json
import math
import unittest

from result import Ok

from ...http import HttpResponse
from ..object_store import PlatformObjectStore
from .documents import FOREIGN_ENTRIES
from .node_fleet import NodeFleetCase

WATCH_S = 3.0


class ForeignEntriesTest(NodeFleetCase):
    """Entries of other writers under the kinds that nodes read."""

    NODES = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = await self.add_server("desk", "i-desk")
        await self.add_server("chat", "i-engine", "m0")
        await self.start_nodes()

    async def check_serving(self) -> None:
        """Check that all nodes serve requests and none has ended."""
        answers = await self.call_steadily("/look/x", per_s=20.0, for_s=WATCH_S)
        self.assertEqual({answer.status for _, answer in answers}, {200})
        for front in self.fronts:
            answer = await self.call(front, "/chat/x", "m1")
            self.assertEqual(answer.status, 200)
        self.assertEqual(
            [process.returncode for process in self.processes], [None] * len(self.processes)
        )
        for event in ("task failed, stopping", "request abandoned", "callback failed"):
            self.assertEqual(self.log_count(event), 0, event)

    async def start_another_node(self) -> None:
        """Start one more node and wait until it serves requests."""
        await self.start_node(self.NODES)
        async with asyncio.timeout(10.0):
            while not await self.is_serving(self.fronts[-1]):
                await asyncio.sleep(0.05)

    async def test_registry_entries(self):
        """Guards against nodes that end, or do not serve, because of a registry entry that another
        writer has left (review case 2: slots 1e999).
        """
        for name, entry in FOREIGN_ENTRIES.items():
            await self.store.write("servers", name, entry)
        await self.check_serving()

    async def test_entries_of_nodes(self):
        """Guards against nodes that end because of an entry among those of the nodes."""
        for number, cores in enumerate((math.inf, math.nan, 10**400, "2", None)):
            entry = {"address": "127.0.0.1:9", "domain": "zone-a", "cores": cores}
            await self.store.write("nodes", f"odd-{number}", entry)
        await self.store.write("nodes", "odd-\ud800", {"address": "127.0.0.1:9", "domain": "z"})
        await self.check_serving()

    async def test_large_entries(self):
        """Guards against nodes that lose the coordinator because of large entries of another
        writer: the copy that it relayed was larger than a frame, which closed the link.
        """
        for number in range(3):
            await self.store.write("servers", f"i-large-{number}", "x" * 700_000)
            await self.store.write("nodes", f"large-{number}", "x" * 700_000)
        await self.start_another_node()
        await self.check_serving()
        self.assertEqual(self.log_count("link closed"), 0)
        self.assertEqual(self.log_count("coordinator lost"), 0)

    async def test_new_node_reads_the_entries(self):
        """Guards against a node that cannot start while such entries are in the store."""
        for name, entry in FOREIGN_ENTRIES.items():
            await self.store.write("servers", name, entry)
        await self.start_another_node()


class FixedClient:
    """HTTP client that gets the same body for every request."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def request(self, *_args, **_options):
        return Ok(HttpResponse(200, (), self._body))


class UnreadableObjectTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the store that contain an object which cannot be read."""

    UNREADABLE = (
        '{"meta": {"name": "bad", "revision": 1e999}, "spec": 1}',
        '{"meta": {"name": "\\ud800", "revision": 3}, "spec": 1}',
        '{"meta": {"name": 7, "revision": 3}, "spec": 1}',
        '{"meta": null}',
    )
    UNREADABLE_VALUES = ("9" * 6000, "[" * 20_000 + "]" * 20_000, '"\\ud800"', "1e999")

    async def read(self, first: str) -> tuple[list, list]:
        """Return the objects and the changes in answers with two objects."""
        good = '{"meta": {"name": "good", "revision": 4}, "spec": {"a": 1}}'
        page = f'{{"items": [{first}, {good}], "truncated": false, "as_of": 9}}'
        store = PlatformObjectStore(FixedClient(page.encode()), "10.0.0.1:80")
        objects = (await store.snapshot("servers/")).unwrap().objects
        events = f'{{"object": {first}, "removed": false}}, {{"object": {good}, "removed": true}}'
        answer = f'{{"events": [{events}], "as_of": 9}}'
        store = PlatformObjectStore(FixedClient(answer.encode()), "10.0.0.1:80")
        changes = (await store.watch("servers/", 2, 1.0)).unwrap().changes
        return list(objects), list(changes)

    async def test_other_objects_are_read(self):
        """Guards against losing all objects of a kind to one that cannot be read."""
        for unreadable in self.UNREADABLE:
            with self.subTest(unreadable=unreadable):
                objects, changes = await self.read(unreadable)
                self.assertEqual([obj.key for obj in objects], ["servers/good"])
                self.assertEqual([(c.key, c.deleted) for c in changes], [("servers/good", True)])

    async def test_objects_whose_value_is_unreadable(self):
        """Guards against losing all objects of a kind to the value of one."""
        for value in self.UNREADABLE_VALUES:
            with self.subTest(value=value[:9]):
                document = f'{{"meta": {{"name": "bad", "revision": 3}}, "spec": {value}}}'
                objects, changes = await self.read(document)
                self.assertEqual(
                    sorted(obj.key for obj in objects), ["servers/bad", "servers/good"]
                )
                self.assertEqual(len(changes), 2)
                self.assertEqual(json.loads(objects[-1].value), {"a": 1})
