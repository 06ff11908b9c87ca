"""Tests of the detection of an isolated failure domain."""

import asyncio
import time
import unittest
from dataclasses import replace

from ...fleet import UpstreamDirectory
from ...ordering.tests.fixtures import make_entry
from .. import IsolationDetector
from .test_coordination import free_port


class IsolationDetectorTest(unittest.IsolatedAsyncioTestCase):
    """A node in domain ``a`` with a peer and an upstream in domain ``b``."""

    async def asyncSetUp(self):
        self.peer, self.upstream = free_port(), free_port()
        directory = UpstreamDirectory()
        far = replace(make_entry("u0"), domain="b", address=f"127.0.0.1:{self.upstream}")
        near = replace(make_entry("u1"), domain="a", address=f"127.0.0.1:{free_port()}")
        directory.replace({"u0": far, "u1": near}, 0.0)
        self.suspicious = True
        self.changes = []
        self.detector = IsolationDetector(
            "a",
            directory,
            lambda: {f"127.0.0.1:{self.peer}": "b"},
            lambda: self.suspicious,
            time.monotonic,
            self.changes.append,
        )
        task = asyncio.ensure_future(self.detector.run())
        self.addCleanup(task.cancel)

    async def listen(self, port):
        server = await asyncio.start_server(lambda _r, w: w.close(), "127.0.0.1", port)
        self.addCleanup(server.close)

    async def eventually(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_refused_connections_to_all_others_mean_isolated(self):
        """Guards against callers that are still served by a domain whose connections to all others
        are refused (inc-6035).
        """
        await self.eventually(lambda: self.detector.isolated)
        await self.listen(self.peer)
        await self.eventually(lambda: not self.detector.isolated)
        self.assertEqual(self.changes, [True, False])

    async def test_reachable_upstream_means_connected(self):
        """Guards against a node that stops being ready because the other nodes were killed."""
        await self.listen(self.upstream)
        await asyncio.sleep(0.8)
        self.assertFalse(self.detector.isolated)

    async def test_nothing_is_probed_while_contact_exists(self):
        """Guards against probe connections to upstreams in normal operation."""
        self.suspicious = False
        await asyncio.sleep(0.5)
        self.assertFalse(self.detector.isolated)
