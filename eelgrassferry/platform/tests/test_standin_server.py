"""Tests of the stand-in for a server."""

import json
import unittest

from ...http import HttpClient
from .standin_server import StandinServer
from .standin_store import StandinStore


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """Orders to an engine, and its registration."""

    async def asyncSetUp(self):
        self.store = StandinStore()
        self.server = StandinServer(self.store, "chat", "i-new", ("m0",))
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def order(self, instance):
        order = {"operation": "load", "model": "m0", "adapter": "a1", "expect": 0}
        sent = await self.client.request(
            self.server.address,
            "POST",
            "/eelgrassferry/order",
            headers=(("Eelgrassferry-Expect-Instance", instance),),
            body=json.dumps({**order, "holder": "front-1", "fencing_token": 1}).encode(),
            timeout_s=1.0,
        )
        return sent.unwrap().status

    async def test_order_for_another_instance_is_rejected(self):
        """Guards against false violations in the soak: a restarted server accepted orders addressed
        to the instance that had used the same address before (soak seed 43).
        """
        self.assertEqual(await self.order("i-old"), 421)
        self.assertEqual(self.server.orders, [])
        self.assertEqual(await self.order("i-new"), 202)
        self.assertEqual(self.server.models, {"m0": {"a1"}})

    async def test_draining_server_stays_draining(self):
        """Guards against false violations in the soak: a draining server registered as ready again
        after a load, so that nodes sent it requests (soak seed 47).
        """
        await self.server.register(state="draining")
        await self.server.register()
        self.assertEqual(self.store.spec("servers", "i-new")["state"], "draining")
