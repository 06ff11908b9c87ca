"""End-to-end tests of servers that answer before they have read a long request."""

import asyncio

from ...http.reset import reset_connection
from .node_fleet import NodeFleetCase
from .tcp_server import TcpServer

HEAD = (
    "HTTP/1.1 {status} OK\r\nEelgrassferry-Request-Id: {id}\r\n"
    "Eelgrassferry-Server-Seal: 3e1b.07\r\n"
)
EVENT = b"id: 1\ndata: a\n\n"
END_OF_CHUNKS = b"0\r\n\r\n"
# More than the buffers of the kernel take, and less than they take: the rest is sent by the kernel.
LONG, SHORT = 4_000_000, 400_000
RESET_AFTER_S = 0.1


class EarlyServer(TcpServer):
    """Server that answers when it has read the head of a request, and then ends its side.

    After ``RESET_AFTER_S`` it resets the connection, or reads the rest of the request first if
    ``reads_on`` is set. ``headers`` frame the answer.
    """

    def __init__(self):
        super().__init__()
        self.status, self.headers, self.body = 200, "", b"part"
        self.reads_on = self.ends_first = True

    async def answer(self, headers, reader, writer):
        if not self.reads_on:
            # Nothing more is taken from the kernel's buffer.
            writer.transport.pause_reading()
        head = HEAD.format(status=self.status, id=headers.get("eelgrassferry-request-id", ""))
        writer.write(f"{head}{self.headers}\r\n".encode() + self.body)
        if self.ends_first:
            writer.write_eof()
        await asyncio.sleep(RESET_AFTER_S)
        if self.reads_on:
            await reader.readexactly(int(headers["content-length"]))
        else:
            reset_connection(writer.transport)


class EarlyAnswerTest(NodeFleetCase):
    """One node; the server of each route answers early."""

    NODES = 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        desk = await self.add_server("desk", "i-desk")
        await self.start_nodes()
        self.server = EarlyServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        entry = {**self.store.spec("servers", "i-desk"), "address": self.server.address}
        await self.store.write("servers", "i-early", entry)
        models = [{"name": "m0", "version": 1, "adapters": []}]
        await self.store.write(
            "servers", "i-engine", {**entry, "service": "chat", "models": models}
        )
        await self.store.remove("servers", "i-desk")
        await desk.stop()
        await asyncio.sleep(0.3)

    async def upload(self, path: str, size: int, model: str = "") -> bytes:
        """Send a request with a body of ``size`` bytes and return all bytes of the answer."""
        (front,) = self.fronts
        self._count += 1
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: calls.example",
            f"Eelgrassferry-Request-Id: upload-{self._count}",
            "Eelgrassferry-Deadline-Ms: 4000",
            f"Content-Length: {size}",
            "Connection: close",
            *([f"Eelgrassferry-Model: {model}"] if model else []),
        ]
        reader, writer = await asyncio.open_connection(self.ip, front)
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * size)
            async with asyncio.timeout(10.0):
                return await reader.read()
        finally:
            writer.close()

    async def test_answer_that_is_reset_during_the_upload_is_not_complete(self):
        """Guards against a violation of MIXED: a part of an answer that a caller gets as a whole
        one, because the server ended its side before it reset the connection.
        """
        self.server.reads_on = False
        for path in ("/book/x", "/look/x"):
            for size in (LONG, SHORT):
                with self.subTest(path=path, size=size):
                    received = await self.upload(path, size)
                    # A request that may be repeated waits for another server until its deadline.
                    status = 502 if path == "/book/x" else 504
                    self.assertTrue(received.startswith(b"HTTP/1.1 %d" % status), received[:300])
                    self.assertNotIn(b"3e1b.07", received)

    async def test_stream_that_is_reset_during_the_upload_is_not_complete(self):
        """Guards against the same for streams, also where they may be resumed."""
        self.server.reads_on, self.server.body = False, EVENT
        self.server.headers = "Content-Type: text/event-stream\r\n"
        for path in ("/chat/x", "/batch/x"):
            for size in (LONG, SHORT):
                with self.subTest(path=path, size=size):
                    received = await self.upload(path, size, "m0")
                    self.assertTrue(self.server.answers)
                    self.assertFalse(received.endswith(END_OF_CHUNKS), received)

    async def test_answer_before_the_whole_upload_is_read_is_complete(self):
        """Guards against refusing answers of servers that read the rest of the request later."""
        for size in (LONG, SHORT):
            with self.subTest(size=size):
                received = await self.upload("/book/x", size)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received[:300])
                self.assertTrue(received.endswith(b"\r\n\r\npart"), received)

    async def test_early_rejection_with_a_length_is_complete(self):
        """Guards against refusing an answer whose length shows that it is whole."""
        self.server.reads_on, self.server.ends_first = False, False
        self.server.status, self.server.headers = 413, "Content-Length: 4\r\nConnection: close\r\n"
        received = await self.upload("/book/x", LONG)
        self.assertTrue(received.startswith(b"HTTP/1.1 413"), received[:300])
        self.assertTrue(received.endswith(b"\r\n\r\npart"), received)

    async def test_status_that_is_none(self):
        """Guards against a violation of MIXED: an answer whose status does not exist is no answer
        of a server, and its caller must not get it as one.
        """
        self.server.headers = "Content-Length: 4\r\n"
        self.server.ends_first = False
        for status in ("000", "099", "600", "999", "1000", "xyz"):
            for path in ("/book/x", "/chat/x"):
                with self.subTest(status=status, path=path):
                    self.server.status = status
                    received = await self.upload(path, 10, "m0" if path == "/chat/x" else "")
                    self.assertTrue(received.startswith(b"HTTP/1.1 502"), received[:300])
