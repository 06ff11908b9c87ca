"""Tests for a node with a platform stand-in."""

import asyncio
import json
import unittest

from ...http import HttpClient
from ...settings import NodeSettings
from ...standins import PlatformStandin
from ..node import Node

SITE = """[site]
name = s1
domains = d1
[model m1]
memory = 1 GiB
[upstream u1]
kind = engine
address = 127.0.0.1:9
domain = d1
accelerators = 1
memory = 4 GiB
"""


class FirstConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A node of a site without a configuration."""

    async def asyncSetUp(self) -> None:
        self.platform = PlatformStandin()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close, 0)
        local = "127.0.0.1:0"
        settings = NodeSettings(
            "n1", "s1", "d1", local, local, local, self.platform.address, "token", ("key",)
        )
        self.node = Node(settings)
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def apply(self) -> int:
        """Apply the site's first revision through the operator API and return the status."""
        body = {"base": SITE, "overlay": "", "based_on": 0, "change_id": "c1", "author": "o"}
        sent = await self.client.request(
            self.node.operator_server.address,
            "POST",
            "/config/apply",
            headers=(("authorization", "Bearer token"),),
            body=json.dumps(body).encode(),
        )
        return sent.unwrap().status

    async def test_first_revision_is_applied_through_the_node(self):
        """Guards against a new site whose nodes wait for a configuration but do not accept one."""
        starting = asyncio.ensure_future(self.node.start())
        async with asyncio.timeout(10):
            while self.node.caller_server.port == 0 or self.node.operator_server.port == 0:
                await asyncio.sleep(0.01)
            body = b'{"model": "m1", "prompt": "p"}'
            refused = await self.client.request(
                self.node.caller_server.address, "POST", "/v1/completions", body=body
            )
            self.assertEqual(refused.unwrap().json()["reason"], "no_configuration")
            self.assertEqual(await self.apply(), 200)
            await starting
        listed = await self.client.request(self.node.caller_server.address, "GET", "/v1/models")
        self.assertEqual([m["id"] for m in listed.unwrap().json()["data"]], ["m1"])
        await self.node.close(0)
