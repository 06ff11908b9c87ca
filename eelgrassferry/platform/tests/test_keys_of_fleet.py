"""End-to-end tests of tenants' keys with several nodes, whose store fails or is slow to answer."""

import asyncio
from typing import Any

from .documents import make_config
from .node_fleet import WAIT_S, NodeFleetCase

# Longest time until a version is in force, in seconds.
APPLY_S = 2.0


class FleetKeysTest(NodeFleetCase):
    """Three nodes and a plain server; all keys begin with ``key-``."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = await self.add_server("desk", "i-desk")
        await self.start_nodes()
        self.version = 1
        await self.write_tenants(press=("key-1",), desk=("key-2",))
        await self.wait_for("key-9", 401)
        # Without tenants, the header was the caller's own.
        self.server.received.clear()

    async def asyncTearDown(self):
        """Check that no key was passed on, and that no log line of any node contains one."""
        for req in self.server.received:
            self.assertIsNone(req.header("x-api-key"))
        logs = [path.read_text() for path in self.folder.glob("log*")]
        self.assertFalse([line for log in logs for line in log.splitlines() if "key-" in line])

    async def write_tenants(self, **keys: tuple[str, ...]) -> None:
        """Write a version with tenants and their keys."""
        self.version += 3
        tenants = [{"name": name, "api_keys": list(held)} for name, held in keys.items()]
        await self.store.write("config", "main", {**make_config(self.version), "tenants": tenants})

    async def ask(self, front: int, key: str) -> tuple[int, Any]:
        """Return the status of a request with a key, and its Retry-After."""
        headers = (("X-Api-Key", key), ("Eelgrassferry-Tenant", "forged"))
        res = (await self.send(front, "/book/x", "", *headers)).unwrap()
        return res.status, res.header("retry-after")

    async def statuses(self, key: str) -> list[int]:
        """Return the statuses of one request with a key to each node."""
        return [(await self.ask(front, key))[0] for front in self.fronts]

    async def wait_until_listening(self, front: int) -> None:
        """Wait until a node that was started accepts connections."""
        async with asyncio.timeout(WAIT_S):
            while (await self.send(front, "/book/x", "")).is_err():
                await asyncio.sleep(0.05)

    async def wait_for(self, key: str, status: int, timeout_s: float = WAIT_S) -> None:
        """Wait until each node answers requests with a key with one status."""
        async with asyncio.timeout(timeout_s):
            while await self.statuses(key) != [status] * len(self.fronts):
                await asyncio.sleep(0.05)

    async def test_keys_added_and_removed_in_quick_succession(self):
        """Guards against a node that stays at one of several versions, and against a request that
        runs for a tenant which does not hold its key.
        """
        stop = asyncio.Event()
        held = {"key-1": "press", "key-2": "desk"}

        async def call_on(front: int, key: str) -> None:
            while not stop.is_set():
                await self.ask(front, key)

        calls = [
            asyncio.ensure_future(call_on(front, key)) for front in self.fronts for key in held
        ]
        for press in ((), ("key-1", "key-3"), (), ("key-3",), ("key-1",), ()):
            await self.write_tenants(press=press, desk=("key-2",))
            await asyncio.sleep(0.05)
        await asyncio.sleep(APPLY_S)
        self.assertEqual(await self.statuses("key-1"), [401] * 3)
        self.assertEqual(await self.statuses("key-3"), [401] * 3)
        self.assertEqual(await self.statuses("key-2"), [200] * 3)
        stop.set()
        await asyncio.gather(*calls)
        tenants = {req.header("eelgrassferry-tenant") for req in self.server.received}
        self.assertLessEqual(tenants, set(held.values()))

    async def test_version_that_cannot_be_used(self):
        """Guards against callers without service because an operator gave a key to two tenants."""
        await self.write_tenants(press=("key-3",), desk=("key-3",))
        async with asyncio.timeout(WAIT_S):
            while self.log_count("configuration not used") < 3:
                await asyncio.sleep(0.05)
        self.assertEqual(await self.statuses("key-1"), [200] * 3)
        self.assertEqual(await self.statuses("key-3"), [401] * 3)

    async def test_store_that_answers_a_waiting_watch_in_an_outage(self):
        """Guards against callers with new keys that give up, because for a moment a node takes its
        copy for current: the store has answered a watch that began before the outage.
        """
        self.store.down = True
        await self.wait_for("key-9", 503)
        loop = asyncio.get_running_loop()
        # A watch takes up to 2 s.
        until = loop.time() + 2.5
        while loop.time() < until:
            self.assertEqual(await self.statuses("key-9"), [503] * 3)

    async def test_outage_of_the_store(self):
        """Guards against callers with new keys that give up because of a node whose copy may be
        old, against known keys that fail with the store, and against a node that restarts in the
        outage and knows no keys.
        """
        self.store.down = True
        await self.wait_for("key-9", 503)
        self.assertEqual(await self.statuses("key-1"), [200] * 3)
        self.assertEqual((await self.ask(self.fronts[0], "key-9"))[1], "0.5")
        self.assertEqual(await self.statuses(""), [401] * 3)
        self.processes[2].kill()
        await self.processes[2].wait()
        self.fronts.pop()
        await self.start_node(2)
        await self.wait_until_listening(self.fronts[2])
        await asyncio.sleep(APPLY_S)
        for key in ("key-1", "key-9", ""):
            self.assertEqual((await self.ask(self.fronts[2], key))[0], 503)
        self.store.down = False
        await self.write_tenants(press=("key-9",))
        await self.wait_for("key-9", 200)
        await self.wait_for("key-1", 401)
