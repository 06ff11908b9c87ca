"""End-to-end tests of a node that reads answers without end, in small chunks or empty lines."""

import asyncio

from ...http import HttpResponse
from .node_fleet import NodeFleetCase
from .tcp_server import TcpServer

HEAD = (
    "HTTP/1.1 200 OK\r\nEelgrassferry-Request-Id: {id}\r\nEelgrassferry-Server-Seal: 3e1b.07\r\n"
    "Content-Type: text/event-stream\r\n"
)
CHUNKS = b"1\r\nx\r\n" * 10_000
EMPTY_LINES = b"\n" * 65_536
# ``timeout_ms`` of the plain routes, and how much later a final answer may come, in seconds.
TIMEOUT_S, LATE_S = 4.0, 0.5


class EndlessServer(TcpServer):
    """Server whose answers, also to questions for its report, have a body of chunks of one byte
    without end.
    """

    FRAMING = "Transfer-Encoding: chunked\r\n\r\n"
    PART = CHUNKS

    async def answer(self, headers, reader, writer):
        head = HEAD.replace("{id}", headers.get("eelgrassferry-request-id", "")) + self.FRAMING
        writer.write(head.encode())
        while True:
            writer.write(self.PART)
            await writer.drain()


class EmptyLinesServer(EndlessServer):
    """Server whose answers consist of empty lines without end."""

    FRAMING = "Connection: close\r\n\r\n"
    PART = EMPTY_LINES


class EndlessAnswersTest(NodeFleetCase):
    """A sound plain server, and engines in trouble whose answers never end."""

    NODES = 1
    ENGINES = 3
    STREAMS = 12
    SERVER = EndlessServer

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add_server("desk", "i-desk")
        await self.start_nodes()
        for number in range(self.ENGINES):
            server = self.SERVER()
            await server.start()
            self.addAsyncCleanup(server.stop)
            entry = {
                **self.store.spec("servers", "i-desk"),
                "service": "chat",
                "address": server.address,
                "slots": 64,
                "models": [{"name": "m0", "version": 1, "adapters": []}],
            }
            await self.store.write("servers", f"i-engine{number}", entry)

    async def test_other_requests_are_answered_in_time(self):
        """Guards against a violation of CONFIG: a process that stands still while it reads the
        streams and reports of a few engines in trouble (review cases 6 and 15).
        """
        loop = asyncio.get_running_loop()
        (front,) = self.fronts
        streams = [
            asyncio.ensure_future(self.send(front, "/chat/x", "m0")) for _ in range(self.STREAMS)
        ]
        await asyncio.sleep(0.5)
        begun_at = loop.time()
        answers: list[HttpResponse] = []
        for _ in range(20):
            answers.append(await self.call(front, "/look/x"))
        took_s = loop.time() - begun_at
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertLess(took_s, TIMEOUT_S + LATE_S)
        for task in streams:
            task.cancel()
        await asyncio.gather(*streams, return_exceptions=True)


class EmptyLinesTest(EndlessAnswersTest):
    """The same with empty lines, each of which ends an event."""

    ENGINES = 2
    STREAMS = 24
    SERVER = EmptyLinesServer
