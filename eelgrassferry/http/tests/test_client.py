"""Tests of the HTTP client on loopback connections."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from ...eventloop.work import EVENTS_PER_STEP
from ...platform.tests.tcp_server import listen_with_small_buffer
from .. import HttpClient, HttpResponse, HttpServer, HttpStream, split_address
from ..incoming_request import IncomingRequest
from ..reset import reset_connection


class GivenUpRequestTest(unittest.IsolatedAsyncioTestCase):
    """A peer does not answer a request in time."""

    async def asyncSetUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.loop = asyncio.get_running_loop()

    async def test_connection_is_reset(self):
        """Guards against a violation of ONE: an order that was given up during a partition is
        delivered after its end, behind the orders of the next coordinator (scenario trouble-1 of
        the large site: 1.4 s after the end of a zone's cut).
        """
        host, port = self.listener.getsockname()
        request = asyncio.ensure_future(
            self.client.request(f"{host}:{port}", "POST", "/x", body=b"{}", timeout_s=0.2)
        )
        peer, _ = await self.loop.sock_accept(self.listener)
        self.addCleanup(peer.close)
        await self.loop.sock_recv(peer, 65_536)
        failed = (await request).err_value
        self.assertEqual((failed.step, failed.sent), ("timeout", True))
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(5.0):
                await self.loop.sock_recv(peer, 1)

    async def test_answered_request_keeps_its_connection(self):
        """Guards against resets of connections that are used again."""
        host, port = self.listener.getsockname()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        peer = None
        for _ in range(2):
            request = asyncio.ensure_future(
                self.client.request(f"{host}:{port}", "GET", "/x", timeout_s=5.0)
            )
            if peer is None:
                peer, _ = await self.loop.sock_accept(self.listener)
                self.addCleanup(peer.close)
            await self.loop.sock_recv(peer, 65_536)
            await self.loop.sock_sendall(peer, answer)
            self.assertEqual((await request).ok_value.body, b"ok")


class TinyChunksTest(unittest.IsolatedAsyncioTestCase):
    """Bodies in chunks of one byte, which are parsed in steps between which other work goes on."""

    CHUNKS = 5000

    async def asyncSetUp(self):
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def test_response(self):
        """Guards against a coordinator that stands still while it reads an engine's report (review
        case 6).
        """
        steps = []

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"1\r\nx\r\n" * self.CHUNKS + b"0\r\n\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        parse = HttpStream._parse

        def record_step(stream, limit):
            steps.append(limit)
            return parse(stream, limit)

        with mock.patch.object(HttpStream, "_parse", record_step):
            response = (await self.client.request(f"{host}:{port}", "GET", "/x")).ok_value
        self.assertEqual(response.body, b"x" * self.CHUNKS)
        self.assertLessEqual(max(steps), EVENTS_PER_STEP)
        self.assertGreaterEqual(len(steps), self.CHUNKS / EVENTS_PER_STEP)

    async def test_informational_responses_without_end(self):
        """Guards against a peer that never sends its response and keeps the reader busy."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        failed = (await self.client.request(f"{host}:{port}", "GET", "/x")).err_value
        self.assertIn("informational", failed.detail)

    async def test_request(self):
        """Guards against a process that stands still while it reads a request for its metrics or
        of an operator.
        """

        async def handle(req, out):
            await out.send(HttpResponse(200, (), req.body))

        server = HttpServer(handle, host="127.0.0.1", port=0)
        await server.start()
        self.addAsyncCleanup(server.close, 0)
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        steps = []
        parse = IncomingRequest.parse

        def record_step(incoming, limit):
            steps.append(limit)
            return parse(incoming, limit)

        with mock.patch.object(IncomingRequest, "parse", record_step):
            reader, writer = await asyncio.open_connection(*split_address(server.address))
            self.addCleanup(writer.close)
            writer.write(head + b"1\r\nx\r\n" * self.CHUNKS + b"0\r\n\r\n")
            answer = await reader.readuntil(b"x" * self.CHUNKS)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        self.assertLessEqual(max(steps), EVENTS_PER_STEP)
        self.assertGreaterEqual(len(steps), self.CHUNKS / EVENTS_PER_STEP)


class EarlyEndTest(unittest.IsolatedAsyncioTestCase):
    """A peer sends a response without a length and ends its side before it has read the request."""

    async def request(self, reads_on: bool):
        """Send a long request and return the result."""

        async def answer(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                if not reads_on:
                    writer.transport.pause_reading()
                writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
                writer.write_eof()
                await asyncio.sleep(0.1)
                if reads_on:
                    await reader.readexactly(400_000)
                else:
                    reset_connection(writer.transport)
            writer.close()

        sock = listen_with_small_buffer("127.0.0.1")
        server = await asyncio.start_server(answer, sock=sock)
        self.addCleanup(server.close)
        client = HttpClient()
        self.addCleanup(client.close)
        host, port = server.sockets[0].getsockname()
        return await client.request(f"{host}:{port}", "POST", "/x", body=b"x" * 400_000)

    async def test_reset_breaks_the_response(self):
        """Guards against a part of a response that is taken for a whole one."""
        self.assertEqual((await self.request(reads_on=False)).err_value.step, "receive_body")

    async def test_response_is_whole_once_the_request_is_taken(self):
        """Guards against refusing the response of a peer that reads the request later."""
        self.assertEqual((await self.request(reads_on=True)).ok_value.body, b"part")
