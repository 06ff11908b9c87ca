"""Tests of the orders to an engine that sends answers twice."""

import asyncio
import unittest
from dataclasses import replace

from ...http import HttpClient
from ...leases import LeaseTerm
from ...metrics import Metrics
from ...ordering import FleetOrder, OrderAnswer, SendOrder
from ...ordering.tests.fixtures import make_entry
from ...placement import OrderKind
from ...platform.order_codec import decode_order_answer, encode_order, order_headers
from ...platform.upstream_codec import decode_report
from ..engine_protocol import EngineProtocol
from ..order_runner import OrderRunner

PROTOCOL = EngineProtocol(
    encode_order, order_headers, decode_order_answer, decode_report, "/order", "/report"
)


class CopyingEngine:
    """Server that answers with ``statuses`` in turn.

    On a connection that is used again, the copy of its last answer comes ahead of the next one.
    """

    def __init__(self, *statuses: int) -> None:
        self.statuses = list(statuses)
        self.orders = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the orders on one connection."""
        copy = b""
        while head := await reader.readuntil(b"\r\n\r\n"):
            fields = dict(
                line.lower().split(": ", 1) for line in head.decode().split("\r\n") if ": " in line
            )
            await reader.readexactly(int(fields["content-length"]))
            self.orders += 1
            writer.write(copy)
            copy = b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n" % self.statuses.pop(0)
            writer.write(copy)
            if fields.get("connection") == "close":
                writer.close()
                return


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    """An engine whose answers come once more, late."""

    async def test_copy_is_not_the_answer_to_the_next_order(self):
        """Guards against an adapter that counts as unloaded although its requests go on, because a
        copy of the answer to the order before is taken for the answer.
        """
        engine = CopyingEngine(200, 202, 409)
        server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = HttpClient()
        self.addCleanup(client.close)
        runner = OrderRunner(
            PROTOCOL, client, "n1", lambda: LeaseTerm(1, 99.0), lambda: 0.0, Metrics()
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        entry = replace(make_entry("u0", "m0"), address=address)
        answers = []
        for count in range(3):
            order = FleetOrder(OrderKind.UNLOAD_ADAPTER, "m0", count, f"a{count}")
            answers.append(await runner.send(SendOrder(entry, order, "test")))
        self.assertEqual(answers, [OrderAnswer.HOLDS, OrderAnswer.ACCEPTED, OrderAnswer.CONFLICT])
        self.assertEqual(engine.orders, 3)
