"""Tests of the connections that are kept for the next request."""

import asyncio
import gc
import unittest
import weakref

from ..upstream_pool import UpstreamPool


class ReleaseTest(unittest.IsolatedAsyncioTestCase):
    """Connections that are not used again."""

    async def test_aborted_connection_is_forgotten(self):
        """Guards against a pool that holds on to every connection that ever broke."""
        server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = UpstreamPool(lambda _status, _headers: None, lambda: 0.0)
        conn = (await pool.connect("u1", f"127.0.0.1:{port}")).unwrap()
        conn.abort()
        await asyncio.sleep(0)
        found = weakref.ref(conn)
        del conn
        gc.collect()
        self.assertIsNone(found())
