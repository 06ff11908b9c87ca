"""Tests of the HTTP client on loopback connections."""

import asyncio
import socket
import unittest

from ..client import HttpClient


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
