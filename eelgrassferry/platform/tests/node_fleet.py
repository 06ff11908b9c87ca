"""Several node processes on loopback, for tests with stand-in servers."""

import asyncio
import tempfile
import unittest
from collections.abc import Iterable
from pathlib import Path

from result import Result

from ...http import HttpClient, HttpError, HttpResponse
from .documents import HOST, make_config, make_settings
from .soak.free_ports import free_ports, own_loopback_ip
from .spawn_node import spawn_node
from .standin_server import StandinServer
from .standin_store import StandinStore

__all__ = ["NodeFleetCase"]

WAIT_S = 20.0


class NodeFleetCase(unittest.IsolatedAsyncioTestCase):
    """``NODES`` node processes, a store and servers that a test adds."""

    NODES = 3

    async def asyncSetUp(self):
        self.store = StandinStore()
        self.store_address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.write("config", "main", make_config())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.ip = own_loopback_ip()
        self.fronts: list[int] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.addAsyncCleanup(self.stop_nodes)
        self._count = 0

    async def add_server(self, service: str, name: str, *models: str) -> StandinServer:
        """Start a registered server."""
        server = StandinServer(self.store, service, name, models)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def start_nodes(self) -> None:
        """Start the nodes and wait until each has served a request and all are linked."""
        for number in range(self.NODES):
            await self.start_node(number)
        async with asyncio.timeout(WAIT_S):
            for front in self.fronts:
                while not await self.is_serving(front):
                    await asyncio.sleep(0.05)
            while self.log_count("node joined") < self.NODES - 1:
                await asyncio.sleep(0.05)

    async def learn_latencies(
        self, servers: Iterable[StandinServer], pause_s: float = 0.05
    ) -> None:
        """Let the nodes learn that plain servers are equally fast, so that all are wanted.

        Each request then takes ``pause_s`` seconds at a server.
        """
        for server in servers:
            server.pause_s = pause_s
        await self.call_steadily("/book/x", per_s=60.0, for_s=1.0)

    async def start_node(self, number: int) -> None:
        """Start a node process with a number, which gives its name."""
        front, ready, control = free_ports(3, self.ip)
        settings = self.folder / f"node{number}.conf"
        name = f"front-{number + 1}"
        settings.write_text(
            make_settings(self.store_address, front, ready, control, name, ip=self.ip)
        )
        self.fronts.append(front)
        with (self.folder / f"log{number}").open("ab") as log:
            self.processes.append(await spawn_node(settings, stdout=log))

    async def stop_nodes(self) -> None:
        """Kill the nodes that still run."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    def log_count(self, event: str) -> int:
        """Return how many lines of all logs have an event."""
        logs = [path.read_text() for path in self.folder.glob("log*")]
        return sum(log.count(f'"{event}"') for log in logs)

    def log_of(self, event: str) -> int:
        """Return the number of the first node whose log has an event."""
        return next(
            number
            for number in range(len(self.processes))
            if f'"{event}"' in (self.folder / f"log{number}").read_text()
        )

    async def is_serving(self, front: int) -> bool:
        """Return whether a node answers a plain request with 200."""
        sent = await self.send(front, "/look/x", "")
        return sent.is_ok() and sent.ok_value.status == 200

    async def call(self, front: int, path: str, model: str = "") -> HttpResponse:
        """Send one request to a node as a caller, and return the response."""
        return (await self.send(front, path, model)).unwrap()

    async def send(
        self, front: int, path: str, model: str, *more: tuple[str, str]
    ) -> Result[HttpResponse, HttpError]:
        """Send one request to a node, and return the response or the error of the connection.

        The request's id begins with the port of the node. ``more`` are further headers.
        """
        self._count += 1
        headers = [
            ("Host", HOST),
            ("Eelgrassferry-Request-Id", f"{front}-{self._count}"),
            ("Eelgrassferry-Deadline-Ms", "4000"),
            *more,
        ]
        if model:
            headers += [("Eelgrassferry-Model", model), ("Eelgrassferry-Token-Counts", "10,5")]
        return await self.client.request(
            f"{self.ip}:{front}", "POST", path, headers=tuple(headers), body=b"text"
        )

    async def call_steadily(self, path: str, per_s: float, for_s: float, model: str = "") -> list:
        """Send requests at a rate to the nodes in turn, and return (sent at, response) pairs.

        Requests to nodes that have ended are left out.
        """
        loop = asyncio.get_running_loop()
        tasks = []

        async def call(front: int):
            sent_at = loop.time()
            return sent_at, await self.send(front, path, model)

        for number in range(round(per_s * for_s)):
            tasks.append(asyncio.ensure_future(call(self.fronts[number % len(self.fronts)])))
            await asyncio.sleep(1.0 / per_s)
        answers = await asyncio.gather(*tasks)
        return [(at, sent.ok_value) for at, sent in answers if sent.is_ok()]
