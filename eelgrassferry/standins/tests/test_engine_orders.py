"""Tests of engine orders: memory, fencing, loss and delay."""

import asyncio

from ...http import HttpResponse, HttpServer
from .. import EngineOptions, EngineStandin, expected_tokens
from .support import StandinCase


class EngineOrdersTest(StandinCase):
    """One engine of 100 MiB over loopback."""

    async def engine(self, **options):
        fixed = {"memory_mib": 100, "load_s": 0.01, "load_lag_s": 0.0, **options}
        return await self.serve(EngineStandin(EngineOptions(**fixed)))

    async def order(self, engine, order_id, kind, name="", mib=0, version="1", **fields):
        body = {"order_id": order_id, "kind": kind, "name": name, "version": version}
        headers = fields.pop("headers", {})
        body.update({"memory_mib": mib, **fields})
        return (await self.call(engine, "POST", "/admin/orders", body, **headers)).status

    async def settle(self, engine, order_id, state="done"):
        await self.wait_until(lambda: engine.orders.states.get(order_id) == state)

    async def status(self, engine):
        return (await self.call(engine, "GET", "/admin/status")).json()

    async def test_overcommit_is_refused_and_counted(self):
        """Guards against memory that is used twice while loads are in progress."""
        engine = await self.engine(load_s=30.0)
        self.assertEqual(await self.order(engine, "o1", "load_model", "m1", 60), 202)
        self.assertEqual(await self.order(engine, "o2", "load_model", "m1", 41, "2"), 507)
        status = await self.status(engine)
        self.assertEqual((status["used_mib"], status["orders"]["o2"]), (60, "refused"))
        self.assertEqual([r["name"] for r in status["loading"]], ["m1"])
        counts = await self.counts(engine)
        self.assertEqual((counts["overcommits"], counts["max_used_mib"]), (1, 60))

    async def test_duplicate_order_is_answered_alike_and_runs_once(self):
        """Guards against an order sent again that loads or counts twice."""
        engine = await self.engine()
        for _ in range(3):
            self.assertEqual(await self.order(engine, "o1", "load_model", "m1", 60), 202)
            self.assertEqual(await self.order(engine, "o2", "load_model", "m2", 60), 507)
        await self.settle(engine, "o1")
        counts = await self.counts(engine)
        self.assertEqual((counts["loads"], counts["overcommits"]), (1, 1))

    async def test_versions_and_adapters_side_by_side(self):
        """Guards against an unload that takes another version or leaves adapters behind."""
        engine = await self.engine()
        for n, version in enumerate(("1", "2")):
            await self.order(engine, f"v{n}", "load_model", "m1", 30, version)
            await self.settle(engine, f"v{n}")
        early = await self.order(engine, "a0", "load_adapter", "a1", 5, base="m9")
        self.assertEqual(early, 422)
        await self.order(engine, "a1", "load_adapter", "a1", 5, base="m1")
        await self.settle(engine, "a1")
        body = {"model": "a1", "prompt": "x", "max_tokens": 2}
        answer = (await self.call(engine, "POST", "/v1/completions", body)).json()
        self.assertEqual(tuple(answer["tokens"]), expected_tokens("a1", "1", "x", 2))
        body["model"] = "m1"
        answer = (await self.call(engine, "POST", "/v1/completions", body)).json()
        self.assertEqual(answer["version"], "1")
        await self.order(engine, "u1", "unload_model", "m1", version="1")
        await self.settle(engine, "u1")
        names = [(r["name"], r["version"]) for r in (await self.status(engine))["residents"]]
        self.assertEqual(names, [("m1", "2"), ("a1", "1")])
        await self.order(engine, "u2", "unload_model", "m1", version="2")
        await self.settle(engine, "u2")
        self.assertEqual((await self.status(engine))["used_mib"], 0)

    async def test_unload_waits_for_running_requests(self):
        """Guards against memory that is freed under a running request."""
        engine = await self.engine(preload=("m1:1:60",))
        await self.set_faults(engine, freeze=True)
        body = {"model": "m1", "prompt": "x"}
        running = asyncio.ensure_future(self.call(engine, "POST", "/v1/completions", body))
        await self.wait_until(lambda: engine.run.batch.running == 1)
        await self.order(engine, "u1", "unload_model", "m1")
        missing = await self.call(engine, "POST", "/v1/completions", body)
        self.assertEqual((missing.status, engine.memory.used_mib), (404, 60))
        await self.set_faults(engine, freeze=False)
        self.assertEqual((await running).status, 200)
        await self.settle(engine, "u1")
        self.assertEqual(engine.memory.used_mib, 0)

    async def test_stale_fence_is_refused_only_where_it_is_checked(self):
        """Guards against an engine that does not behave as its settings say."""
        for checks, want in ((True, 409), (False, 202)):
            engine = await self.engine(checks_fence=checks)
            await self.order(engine, "f1", "fence", fence=5)
            late = await self.order(engine, "o1", "load_model", "m1", 10, fence=4)
            self.assertEqual(late, want)
            self.assertEqual((await self.status(engine))["fence"], 5 if checks else 0)

    async def test_sender_is_checked_where_asked(self):
        """Guards against an engine that takes orders from anyone."""
        engine = await self.engine(token="secret")
        self.assertEqual(await self.order(engine, "o1", "set_role", "decode"), 401)
        good = {"authorization": "Bearer secret"}
        self.assertEqual(await self.order(engine, "o1", "set_role", "decode", headers=good), 202)
        self.assertEqual((await self.counts(engine))["role_changes"], 1)

    async def test_lost_order_never_takes_effect_and_can_be_sent_again(self):
        """Guards against a lost order that shows in the status."""
        engine = await self.engine()
        await self.set_faults(engine, lose_orders=1)
        self.assertEqual(await self.order(engine, "o1", "load_model", "m1", 10), 202)
        self.assertEqual((await self.status(engine))["orders"], {})
        self.assertEqual(await self.order(engine, "o1", "load_model", "m1", 10), 202)
        await self.settle(engine, "o1")

    async def test_delayed_order_is_checked_when_it_arrives(self):
        """Guards against an old holder's order that takes effect after the takeover."""
        engine = await self.engine()
        await self.set_faults(engine, delay_orders_s=1.0)
        self.assertEqual(await self.order(engine, "o1", "load_model", "m1", 10, fence=1), 202)
        self.assertEqual((await self.status(engine))["orders"], {})
        await self.set_faults(engine, delay_orders_s=0)
        await self.order(engine, "f2", "fence", fence=2)
        await self.settle(engine, "o1", "refused")
        self.assertEqual(engine.memory.used_mib, 0)

    async def test_load_takes_as_long_as_the_store(self):
        """Guards against a load that is ready before its weights, or after a failed transfer."""
        gate, targets = asyncio.Event(), []

        async def transfer(req, out):
            targets.append(req.target)
            await gate.wait()
            await out.send(HttpResponse(200 if req.path == "/weights/m1" else 503))

        store = await self.serve(HttpServer(transfer, host="127.0.0.1", port=0))
        engine = await self.engine(store=store.address)
        await self.order(engine, "o1", "load_model", "m1", 10)
        await self.order(engine, "o2", "load_adapter", "a1", 5)
        await self.wait_until(lambda: len(targets) == 2)
        self.assertEqual(len((await self.status(engine))["loading"]), 2)
        gate.set()
        await self.settle(engine, "o1")
        await self.settle(engine, "o2", "failed")
        self.assertEqual(engine.memory.used_mib, 10)
