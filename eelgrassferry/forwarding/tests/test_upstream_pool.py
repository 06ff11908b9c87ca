"""Tests of the pool of connections to upstreams."""

import asyncio
import gc
import unittest
import weakref

from ..upstream_conn import UpstreamConn
from ..upstream_pool import UpstreamPool


class GarbageCollectionTest(unittest.IsolatedAsyncioTestCase):
    """Connections that are not reused."""

    async def test_aborted_connection_is_garbage_collected(self):
        """Guards against a memory leak: a pool that keeps a reference to each broken connection."""
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = UpstreamPool(lambda _status, _headers: None, lambda: 0.0)
        conn = (await pool.connect("u1", f"127.0.0.1:{port}")).unwrap()
        conn.abort()
        await asyncio.sleep(0)
        reference = weakref.ref(conn)
        del conn
        gc.collect()
        self.assertIsNone(reference())


class ReuseTest(unittest.IsolatedAsyncioTestCase):
    """Idle connections to an upstream."""

    async def asyncSetUp(self):
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.pool = UpstreamPool(lambda _status, _headers: None, lambda: 0.0)

    async def add_idle(self, *request_ids: str) -> UpstreamConn:
        """Release a connection that has carried requests, and return it."""
        conn = (await self.pool.connect("u1", self.address)).unwrap()
        self.addCleanup(conn.abort)
        conn._request_ids.update(request_ids)
        self.pool._release("u1", conn)
        return conn

    async def test_further_attempt_takes_another_connection(self):
        """Guards against a late copy of a rejection that is taken for the answer to the next
        attempt of the same request, on the connection which was released last (review case 3).
        """
        older, newer = await self.add_idle("r2"), await self.add_idle("r1")
        self.assertIs(self.pool.take_idle("u1", "r1"), older)
        self.assertIsNone(self.pool.take_idle("u1", "r1"))
        self.assertTrue(newer.is_open)
        self.assertIs(self.pool.take_idle("u1", "r3"), newer)

    async def test_closed_connections_are_dropped(self):
        """Guards against a request that is sent on a closed connection."""
        open_conn, closed = await self.add_idle(), await self.add_idle()
        closed.abort()
        self.assertIs(self.pool.take_idle("u1", "r1"), open_conn)
        self.assertIsNone(self.pool.take_idle("u1", "r2"))
