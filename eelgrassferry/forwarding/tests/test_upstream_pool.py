"""Tests of the pool of connections to upstreams."""

import asyncio
import gc
import unittest
import weakref

from ..upstream_pool import UpstreamPool


class GarbageCollectionTest(unittest.IsolatedAsyncioTestCase):
    """Connections that are not reused."""

    async def test_aborted_connection_is_garbage_collected(self):
        """Guards against a memory leak: a pool that keeps a reference to each broken connection."""
        server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
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
