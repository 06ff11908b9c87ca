"""Tests of one node against a platform stand-in."""

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
    """A node of a site that has no configuration."""

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
        """Apply the site's first revision at the operators' listener."""
        body = {"base": SITE, "overlay": "", "based_on": 0, "change_id": "c1", "author": "o"}
        sent = await self.client.request(
            self.node.operators.address,
            "POST",
            "/config/apply",
            headers=(("authorization", "Bearer token"),),
            body=json.dumps(body).encode(),
        )
        return sent.unwrap().status

    async def test_first_revision_can_be_applied_at_a_node(self):
        """Guards against a new site whose nodes wait for a configuration that nobody can give."""
        starting = asyncio.ensure_future(self.node.start())
        async with asyncio.timeout(10):
            while self.node.callers.port == 0 or self.node.operators.port == 0:
                await asyncio.sleep(0.01)
            body = b'{"model": "m1", "prompt": "p"}'
            refused = await self.client.request(
                self.node.callers.address, "POST", "/v1/completions", body=body
            )
            self.assertEqual(refused.unwrap().json()["reason"], "no_configuration")
            self.assertEqual(await self.apply(), 200)
            await starting
        listed = await self.client.request(self.node.callers.address, "GET", "/v1/models")
        self.assertEqual([m["id"] for m in listed.unwrap().json()["data"]], ["m1"])
        await self.node.close(0)
