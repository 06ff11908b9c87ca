"""End-to-end tests of answers that end with their connection, on real sockets."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from .documents import HOST, make_config, make_settings
from .raw_server import RawServer
from .soak.free_ports import free_ports, own_loopback_ip
from .spawn_node import spawn_node
from .standin_store import StandinStore

WAIT_S = 15.0
HEAD = "HTTP/1.1 200 OK\r\nEelgrassferry-Request-Id: {id}\r\nEelgrassferry-Server-Seal: 3e1b.07\r\n"
END_OF_CHUNKS = b"0\r\n\r\n"


class AnswersWithoutLengthTest(unittest.IsolatedAsyncioTestCase):
    """One node before one engine and one plain server, which send given bytes."""

    async def asyncSetUp(self):
        self.store = StandinStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.write("config", "main", make_config())
        self.engine = RawServer(self.store, "chat", "i-engine")
        self.plain = RawServer(self.store, "desk", "i-desk")
        await self.engine.start(("m0",))
        await self.plain.start()
        self.addAsyncCleanup(self.engine.stop)
        self.addAsyncCleanup(self.plain.stop)
        self.front, self.ready, control = free_ports(3, own_loopback_ip())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = Path(folder.name) / "node.conf"
        settings.write_text(
            make_settings(address, self.front, self.ready, control, ip=own_loopback_ip())
        )
        with (Path(folder.name) / "log").open("ab") as log:
            self.node = await spawn_node(settings, stdout=log)
        self.addAsyncCleanup(self.stop_node)
        async with asyncio.timeout(WAIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def stop_node(self):
        self.node.kill()
        await self.node.wait()

    async def is_ready(self) -> bool:
        request = b"GET /eelgrassferry/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        try:
            return (await self.exchange(self.ready, request)).startswith(b"HTTP/1.1 200")
        except ConnectionError:
            return False

    async def exchange(self, port: int, request: bytes) -> bytes:
        """Send a request and return all bytes until the connection ends."""
        reader, writer = await asyncio.open_connection(own_loopback_ip(), port)
        writer.write(request)
        received = b""
        try:
            async with asyncio.timeout(WAIT_S):
                while data := await reader.read(65_536):
                    received += data
        except ConnectionError:
            pass
        writer.close()
        return received

    async def call(self, path: str) -> bytes:
        """Send one request as a caller and return the bytes of the answer."""
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            "Eelgrassferry-Request-Id: id-1",
            "Eelgrassferry-Deadline-Ms: 3000",
            "Content-Length: 2",
            "Connection: close",
        ]
        if path.startswith(("/chat", "/batch")):
            lines.append("Eelgrassferry-Model: m0")
        return await self.exchange(self.front, ("\r\n".join(lines) + "\r\n\r\nhi").encode())

    def set_stream(self, *parts: bytes, framing: str = "", reset: bool = False) -> None:
        self.engine.head = f"{HEAD}Content-Type: text/event-stream\r\n{framing}\r\n"
        self.engine.parts, self.engine.reset = parts, reset

    async def test_whole_answer_is_delivered(self):
        """Guards against taking the end of an answer without a length for a failure."""
        self.plain.head, self.plain.parts = f"{HEAD}\r\n", (b"one ", b"two")
        received = await self.call("/book/x")
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        self.assertTrue(received.endswith(b"\r\n\r\none two"), received)
        self.assertIn(b"content-length: 7", received.lower())

    async def test_answer_that_is_reset_is_not_delivered(self):
        """Guards against passing on half an answer as a whole one."""
        self.plain.head, self.plain.parts = f"{HEAD}\r\n", (b"one ", b"two")
        self.plain.reset = True
        received = await self.call("/book/x")
        self.assertTrue(received.startswith(b"HTTP/1.1 502"), received)
        self.assertNotIn(b"3e1b.07", received)

    async def test_whole_stream_is_delivered(self):
        """Guards against breaking off a stream that ends with its connection."""
        for path in ("/chat/x", "/batch/x"):
            self.set_stream(b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
            received = await self.call(path)
            self.assertIn(b"data: b\n\n", received)
            self.assertTrue(received.endswith(END_OF_CHUNKS), received)

    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        """Guards against a stream that looks complete although its last event is torn."""
        torn = (b"id: 1\ndata: a\n\n", b"id: 2\nda")
        for path in ("/chat/x", "/batch/x"):
            self.set_stream(*torn)
            received = await self.call(path)
            self.assertIn(b"data: a\n\n", received)
            self.assertFalse(received.endswith(END_OF_CHUNKS), received)

    async def test_chunked_stream_that_ends_inside_an_event_is_broken_off(self):
        """Guards against trusting the framing of a stream whose last event is torn."""
        chunks = (b"f\r\nid: 1\ndata: a\n\n\r\n", b"8\r\nid: 2\nda\r\n", END_OF_CHUNKS)
        for path in ("/chat/x", "/batch/x"):
            framing = "Transfer-Encoding: chunked\r\nConnection: close\r\n"
            self.set_stream(*chunks, framing=framing)
            received = await self.call(path)
            self.assertIn(b"data: a\n\n", received)
            self.assertFalse(received.endswith(END_OF_CHUNKS), received)

    async def test_stream_that_is_reset_between_events_is_broken_off(self):
        """Guards against taking a reset after a whole event for the end of the stream."""
        for path in ("/chat/x", "/batch/x"):
            self.set_stream(b"id: 1\ndata: a\n\n", reset=True)
            received = await self.call(path)
            self.assertFalse(received.endswith(END_OF_CHUNKS), received)
