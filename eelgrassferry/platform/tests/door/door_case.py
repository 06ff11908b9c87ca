"""One node process with small limits, and the checks that hold whatever a crowd does to it."""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from ....http import HttpClient, HttpRequest, HttpResponse, Responder
from ..documents import HOST, make_config, make_settings
from ..soak.free_ports import free_ports, own_loopback_ip
from ..spawn_node import spawn_node
from ..standin_server import SEAL, StandinServer
from ..standin_store import StandinStore
from .crowd import Crowd

__all__ = ["BIG", "MB", "DoorCase", "make_head"]

MB = 1024 * 1024
# Descriptors of the node, of which the platform reserves 200 for files.
MAX_FDS = 400
RESERVED_FDS = 200
# Memory that the allocator may keep when the crowd has gone, in bytes.
KEPT_BYTES = 30 * MB
# Body size of the largest legal request, and of the answers to ``/look/big``.
BIG = 4 * MB
BIG_ANSWER = 3 * MB
# Longest wait for a node that has to answer or to release something, in seconds.
WAIT_S = 30.0


def make_head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Return the head of a request that is legal at the node."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Eelgrassferry-Request-Id: crowd"]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


class BigAnswerServer(StandinServer):
    """Server that answers requests whose path ends in ``big`` with ``BIG_ANSWER`` bytes.

    Those whose path ends in ``sink`` get no body if theirs has ``BIG`` bytes, and otherwise fail.
    """

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        request_id = ("Eelgrassferry-Request-Id", req.header("eelgrassferry-request-id") or "")
        if req.path.endswith("big"):
            await responder.send(HttpResponse(200, (request_id, SEAL), bytes(BIG_ANSWER)))
        elif req.path.endswith("sink"):
            status = 200 if len(req.body) == BIG else 500
            await responder.send(HttpResponse(status, (request_id, SEAL)))
        else:
            await super()._run(req, responder)


class DoorCase(unittest.IsolatedAsyncioTestCase):
    """A node with small limits, a store and a server of the ``desk`` service."""

    MEMORY_MB = 120

    async def asyncSetUp(self):
        self.store = StandinStore()
        store_address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.write("config", "main", make_config())
        self.server = BigAnswerServer(self.store, "desk", "i-desk")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ip = own_loopback_ip()
        front, ready, control, metrics = free_ports(4, ip)
        self.front, self.ready = f"{ip}:{front}", f"{ip}:{ready}"
        self.control, self.metrics = f"{ip}:{control}", f"{ip}:{metrics}"
        settings = Path(folder.name) / "node.conf"
        limits = f"limits.memory_mb={self.MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n"
        settings.write_text(make_settings(store_address, front, ready, control, ip=ip) + limits)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        with (Path(folder.name) / "log").open("wb") as log:
            options = ("--metrics-port", str(metrics))
            self.node = await spawn_node(settings, *options, stdout=log, stderr=log)
        self.addAsyncCleanup(self.stop_node)
        self.most_sockets = 0
        await self.check_served()

    async def stop_node(self) -> None:
        """Kill the node."""
        if self.node.returncode is None:
            self.node.kill()
        await self.node.wait()

    def memory(self, field: str) -> int:
        """Return the node's resident memory in bytes: ``VmRSS`` now, ``VmHWM`` at its peak."""
        status = Path(f"/proc/{self.node.pid}/status").read_text()
        return int(status.partition(f"{field}:")[2].split()[0]) * 1024

    def sockets(self) -> int:
        """Return how many sockets and pipes the node has open."""
        links = []
        for path in Path(f"/proc/{self.node.pid}/fd").iterdir():
            try:
                links.append(os.readlink(path))
            except FileNotFoundError:
                continue
        return sum(link.startswith(("socket:", "pipe:")) for link in links)

    async def send(self, body: bytes, path: str) -> int:
        """Send one ordinary request on a new connection; return the status, or 0 for none."""
        headers = (("Host", HOST), ("Eelgrassferry-Request-Id", "ordinary"))
        result = await self.client.request(
            self.front, "POST", path, headers=headers, body=body, new_connection=True
        )
        return result.ok_value.status if result.is_ok() else 0

    async def check_served(self, body: bytes = b"text", path: str = "/look/x") -> None:
        """Check that an ordinary request is answered, which may be repeated as clients do."""
        async with asyncio.timeout(WAIT_S):
            while await self.send(body, path) != 200:
                self.assertIsNone(self.node.returncode, "the node has ended")
                await asyncio.sleep(0.1)

    async def _watch_sockets(self) -> None:
        while True:
            self.most_sockets = max(self.most_sockets, self.sockets())
            await asyncio.sleep(0.02)

    async def check(self, crowd: Crowd) -> None:
        """Check the node's state while the crowd is there and after it has gone."""
        memory_before, sockets_before = self.memory("VmRSS"), self.sockets()
        watch = asyncio.ensure_future(self._watch_sockets())
        try:
            await crowd.settle()
            await self.check_served()
        finally:
            watch.cancel()
            await crowd.leave()
        self.assertIsNone(self.node.returncode, "the node has ended")
        await self.check_served()
        peak_mb = self.memory("VmHWM") / MB
        self.assertLess(peak_mb, self.MEMORY_MB, "peak of the memory in MB")
        self.assertLess(self.most_sockets, MAX_FDS - RESERVED_FDS, "sockets at the peak")
        # Idle connections to upstreams and to the store come and go.
        await self._check_released(self.sockets, sockets_before + 8, "sockets")
        await self._check_released(
            lambda: self.memory("VmRSS"), memory_before + KEPT_BYTES, "resident bytes"
        )
        await self.check_served(bytes(BIG), "/look/sink")

    async def _check_released(self, measure, bound: int, what: str) -> None:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + WAIT_S / 3
        while (found := measure()) > bound and loop.time() < give_up_at:
            await asyncio.sleep(0.1)
        self.assertLessEqual(found, bound, f"{what} are kept after the crowd has gone")
