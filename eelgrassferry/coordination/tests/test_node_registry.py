"""Tests of the registry of nodes, in virtual time."""

import asyncio
import json
import unittest
from dataclasses import replace

from ...fleet import EntrySettings
from ...objects import MemoryObjectStore, MonitoredStore
from ..node_registry import NodeRegistry
from .virtual_time_loop import VirtualTimeLoop

SETTINGS = EntrySettings("n1", "a", "", "", "10.0.0.1:7000", "", first_start=True, cores=0.5)


class CompactStore(MemoryObjectStore):
    """Store that returns values as compact JSON, like the platform's."""

    async def put(self, key, value, expected):
        compact = json.dumps(json.loads(value), separators=(",", ":")).encode()
        return await super().put(key, compact, expected)


class StartOfManyNodesTest(unittest.TestCase):
    """Hundreds of nodes start at once, and each registers itself."""

    def setUp(self):
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        self.store = CompactStore()

    def read_entry(self) -> dict[str, object]:
        """Return the stored registration of n1."""
        stored = self.loop.run_until_complete(self.store.get("nodes/n1")).unwrap()
        return json.loads(stored.value)

    def start(self, settings: EntrySettings, seconds: float) -> NodeRegistry:
        """Run the registry of a new process for some time, with a coordinator expected soon."""
        store = MonitoredStore(self.store, self.loop.time)
        registry = NodeRegistry(settings, store, self.loop.time, lambda: None)
        registry.feed.is_relay_expected = lambda: True

        async def run():
            task = asyncio.ensure_future(registry.run())
            await asyncio.sleep(seconds)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.loop.run_until_complete(run())
        return registry

    def test_first_registration_is_one_call(self):
        """Guards against calls at the start that are paid once for each of 195 nodes."""
        self.start(SETTINGS, 0.9)
        self.assertEqual((self.store.writes, self.store.reads), (1, 0))
        self.assertEqual(self.read_entry()["cores"], 0.5)

    def test_restarted_process_does_not_write_again(self):
        """Guards against a write of each node after all have lost power, seen by all others."""
        self.start(SETTINGS, 0.9)
        self.start(replace(SETTINGS, first_start=False), 0.9)
        self.assertEqual(self.store.writes, 1)

    def test_changed_address_is_written(self):
        """Guards against a registration that keeps the address of an earlier machine."""
        self.start(SETTINGS, 0.9)
        self.start(replace(SETTINGS, peer_listen="10.0.0.2:7000", first_start=False), 0.9)
        self.assertEqual(self.read_entry()["address"], "10.0.0.2:7000")

    def test_unknown_node_is_looked_up(self):
        """Guards against a node that cannot connect to a coordinator it has no copy of."""
        self.start(SETTINGS, 0.9)
        registry = self.start(replace(SETTINGS, name="n2", peer_listen="10.0.0.2:7000"), 0.9)
        self.assertEqual(registry.address("n1"), "")
        found = self.loop.run_until_complete(registry.find_address("n1"))
        self.assertEqual(found, "10.0.0.1:7000")
        self.assertFalse(registry.is_listed)


class RestoreTest(unittest.TestCase):
    """The store loses registrations in a restore."""

    def setUp(self):
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        self.store = CompactStore()

    def make_registry(self, name: str, members: set[str] | None = None) -> NodeRegistry:
        settings = replace(SETTINGS, name=name, peer_listen=f"{name}:7000")
        store = MonitoredStore(self.store, self.loop.time)
        return NodeRegistry(settings, store, self.loop.time, lambda: members)

    def run_all(self, seconds: float, *steps, registries) -> None:
        """Run registries for some time after each of the steps."""

        async def run():
            tasks = [asyncio.ensure_future(registry.run()) for registry in registries]
            for step in (None, *steps):
                if step is not None:
                    await step()
                await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(run())

    def test_lost_registration_is_written_again(self):
        """Guards against a node that no other node finds after a restore."""
        registry, copy = self.make_registry("n1"), self.store.make_copy()
        self.run_all(3.0, lambda: self.store.restore(copy), registries=[registry])
        self.assertIsNotNone(self.loop.run_until_complete(self.store.get("nodes/n1")).unwrap())

    def test_older_registration_of_the_copy_is_replaced(self):
        """Guards against a node that is sought at the address of an earlier machine."""
        self.run_all(1.0, registries=[self.make_registry("n1")])
        copy = self.store.make_copy()
        moved = self.make_registry("n1")
        moved._own_value = moved._own_value.replace(b"n1:7000", b"n1:7001")
        moved._settings = replace(moved._settings, first_start=False)
        self.run_all(3.0, lambda: self.store.restore(copy), registries=[moved])
        stored = self.loop.run_until_complete(self.store.get("nodes/n1")).unwrap()
        self.assertEqual(stored.value, moved._own_value)

    def test_nodes_without_a_registration_are_known_until_they_are_absent(self):
        """Guards against a violation of ONE: a coordinator that is extended by the promises of the
        other nodes does not ask one whose registration the store has lost.
        """
        registry, other = self.make_registry("n1", set()), self.make_registry("n2")

        async def restore():
            copy = self.store.make_copy()
            await self.store.delete("nodes/n2", other.feed.objects["nodes/n2"].version)
            lost = self.store.make_copy()
            await self.store.restore(copy)
            await asyncio.sleep(1.0)
            await self.store.restore(lost)
            await asyncio.sleep(1.0)
            self.assertEqual(registry.others, ["n2"])

        self.run_all(1.0, registries=[other])
        self.run_all(2.0, restore, registries=[registry])
        self.assertEqual(registry.others, ["n2"])
        self.run_all(12.0, registries=[registry])
        self.assertEqual(registry.others, [])
