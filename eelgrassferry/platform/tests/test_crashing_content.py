"""End-to-end tests of a node whose callers send requests that crash the engines they run on."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from ...http import HttpClient, HttpResponse
from .documents import HOST, make_config, make_settings
from .soak.free_ports import free_ports, own_loopback_ip
from .spawn_node import spawn_node
from .standin_server import StandinServer
from .standin_store import StandinStore

WAIT_S = 15.0
ENGINES = 12
DEADLY_PART = "dead"
# Bounds of the platform's rules: crashes before the content has to be known, and requests with it
# that may still reach an engine afterwards.
MAX_CRASHES = 5
MAX_LATE_REQUESTS = 3


class DeadlyPromptPartTest(unittest.IsolatedAsyncioTestCase):
    """One node and a dozen engines; one part of a prompt crashes every engine that answers it."""

    async def asyncSetUp(self):
        self.store = StandinStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.write("config", "main", make_config())
        self.engines = [
            StandinServer(self.store, "chat", f"i-engine{i}", ("m0",)) for i in range(ENGINES)
        ]
        for engine in self.engines:
            engine.deadly_part = DEADLY_PART
            await engine.start()
            self.addAsyncCleanup(engine.stop)
        self.front, ready, control = free_ports(3, own_loopback_ip())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = Path(folder.name) / "node.conf"
        settings.write_text(
            make_settings(address, self.front, ready, control, ip=own_loopback_ip())
        )
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        with (Path(folder.name) / "log").open("ab") as log:
            self.node = await spawn_node(settings, stdout=log)
        self.addAsyncCleanup(self.stop_node)
        async with asyncio.timeout(WAIT_S):
            while await self.call("first", "a:5,b:5,c:5") != 200:
                await asyncio.sleep(0.05)

    async def stop_node(self):
        self.node.kill()
        await self.node.wait()

    async def call(self, name: str, prompt: str, path: str = "/chat/x") -> int:
        """Send one stream request and return the status, 0 if its answer broke off."""
        response = await self.send(name, prompt, path)
        return response.status if response is not None else 0

    async def send(self, name: str, prompt: str, path: str) -> HttpResponse | None:
        """Send one stream request and return the response, None if it broke off."""
        headers = (
            ("Host", HOST),
            ("Eelgrassferry-Request-Id", f"id-{name}"),
            ("Eelgrassferry-Deadline-Ms", "4000"),
            ("Eelgrassferry-Model", "m0"),
            ("Eelgrassferry-Token-Counts", "15,20"),
            ("Eelgrassferry-Prompt-Prefix", prompt),
        )
        sent = await self.client.request(
            f"{own_loopback_ip()}:{self.front}", "POST", path, headers=headers, body=name.encode()
        )
        return sent.ok_value if sent.is_ok() else None

    def reached_after(self, crashes: int) -> int:
        """Return how many deadly requests reached engines after a number of crashes."""
        deadly = [
            req
            for engine in self.engines
            for req in engine.received
            if DEADLY_PART in (req.header("eelgrassferry-prompt-prefix") or "")
        ]
        return max(0, len(deadly) - crashes)

    async def send_deadly_and_sound(self) -> None:
        """Send deadly requests, no two alike, and between them sound ones that share the rest."""
        for number in range(ENGINES):
            await self.call(f"deadly-{number}", f"a:5,b:5,{DEADLY_PART}:5,d{number}:5")
            await asyncio.sleep(0.6)
            await self.call(f"sound-{number}", f"a:5,b:5,s{number}:5")
            await asyncio.sleep(0.1)

    async def test_deadly_part_does_not_crash_one_engine_after_the_other(self):
        """Guards against sending requests with a prompt part that crashes every engine."""
        await self.send_deadly_and_sound()
        self.assertLessEqual(self.reached_after(MAX_CRASHES), MAX_LATE_REQUESTS)
        crashed = [engine for engine in self.engines if engine.is_stopped]
        self.assertLessEqual(len(crashed), MAX_CRASHES)
        res = await self.send("last", f"a:5,{DEADLY_PART}:5,e:5", "/chat/x")
        self.assertEqual(res.status, 503)
        self.assertIsNone(res.header("retry-after"))

    async def test_sound_requests_that_share_other_parts_are_served(self):
        """Guards against refusing sound requests because of the parts that deadly ones share."""
        await self.send_deadly_and_sound()
        for number in range(10):
            self.assertEqual(await self.call(f"after-{number}", f"a:5,b:5,t{number}:5"), 200)
