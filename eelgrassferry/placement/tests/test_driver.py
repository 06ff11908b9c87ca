"""Tests of the asyncio driver over sockets, with a simulated engine behind an HTTP server."""

import asyncio
import json
import time
import unittest
from dataclasses import replace

from ...http import HttpClient, HttpResponse, HttpServer
from ...leases import LeaseTerm
from ...objects import MemoryObjectStore
from ...settings import Deployment
from .. import AreaController, AreaDriver, EngineOrder, OrderKind, SendOrder
from ..simulated_engine import SimulatedEngine
from .deployments import make_deployment


def status_to_json(status) -> dict:
    """Return a status as the JSON object that an engine sends."""

    def entry(r):
        item = r.item
        fields = {"kind": item.kind.value, "name": item.name, "version": item.version}
        return {**fields, "memory_mib": r.memory_mib}

    return {
        "fence": status.fence,
        "memory_mib": status.memory_mib,
        "used_mib": status.used_mib,
        "residents": [entry(r) for r in status.residents],
        "loading": [entry(r) for r in status.loading],
        "orders": {k: v.value for k, v in status.orders.items()},
        "running": 0,
        "queued": 0,
    }


class AreaDriverTest(unittest.IsolatedAsyncioTestCase):
    """Driver with one simulated engine behind an HTTP server."""

    async def asyncSetUp(self):
        self.engine = SimulatedEngine(100, model_load_s=0.05)
        self.probes = 0
        self.server = HttpServer(self.serve, host="127.0.0.1", port=0)
        await self.server.start()
        self.addAsyncCleanup(self.server.close, 0)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.store = MemoryObjectStore()
        self.controller = AreaController("n1:a")
        self.driver = AreaDriver(self.controller, self.store, self.client)
        self.controller.update_deployment(self.make({}), time.monotonic())
        self.controller.update_term(LeaseTerm(1, float("inf")), time.monotonic())

    def make(self, versions) -> Deployment:
        made = make_deployment(("m1",), upstreams=1, versions=versions, adapters=[("a1", "m1")])
        upstream = replace(made.upstreams["u0"], address=self.server.address)
        return replace(made, upstreams={"u0": upstream})

    async def serve(self, req, out):
        now = time.monotonic()
        match req.path:
            case "/admin/orders":
                fields = json.loads(req.body)
                order = EngineOrder(**{**fields, "kind": OrderKind(fields["kind"])})
                await out.send(HttpResponse(self.engine.receive(order, now)))
            case "/admin/status":
                await out.send(HttpResponse.of_json(status_to_json(self.engine.status(now))))
            case _:
                self.probes += 1
                body = b'data: {"index": 0, "token": "x"}\n\ndata: [DONE]\n\n'
                await out.send(HttpResponse(200, (), body))

    def names(self) -> set[tuple[str, str]]:
        return {(item.name, item.version) for item in self.engine.residents}

    async def wait_for(self, expected):
        async with asyncio.timeout(15):
            while self.names() != expected:
                await asyncio.sleep(0.01)

    async def test_model_adapter_and_version_change_over_sockets(self):
        """Guards against a driver that performs the controller's actions incorrectly."""
        task = asyncio.ensure_future(self.driver.run())
        self.addCleanup(task.cancel)
        self.store.faults.lose_answers = 1
        await self.wait_for({("m1", "1")})
        self.controller.record_pending_demand("a1", True, time.monotonic())
        self.driver.wake()
        await self.wait_for({("m1", "1"), ("a1", "1")})
        self.controller.update_deployment(self.make({"m1": "2"}), time.monotonic())
        self.driver.wake()
        await self.wait_for({("m1", "2"), ("a1", "1")})
        self.assertEqual(self.probes, 1)
        self.assertEqual(self.engine.overcommits, 0)

    async def test_order_is_not_sent_after_reservation_or_term_expires(self):
        """Guards against a paused lease holder that resumes and sends an outdated order."""
        order = EngineOrder("o1", OrderKind.LOAD_MODEL, "m1", "1", 40, 1)
        now = time.monotonic()
        await self.driver._send_order(SendOrder("u0", order, now - 1.5))
        self.controller.update_term(LeaseTerm(1, now - 0.1), now)
        await self.driver._send_order(SendOrder("u0", order, now))
        self.assertEqual(self.engine.orders, {})
        self.controller.update_term(LeaseTerm(1, now + 60.0), now)
        await self.driver._send_order(SendOrder("u0", order, now))
        self.assertEqual(set(self.engine.orders), {"o1"})
