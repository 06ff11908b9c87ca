"""Tests of engine orders: memory, fencing, lost and delayed orders."""

import asyncio

from ...http import HttpResponse, HttpServer
from .. import EngineOptions, EngineStandin, expected_tokens
from .support import StandinTestCase


class EngineOrdersTest(StandinTestCase):
    """Orders to one engine with 100 MiB of memory over the loopback interface."""

    async def start_engine(self, **options):
        merged = {"memory_mib": 100, "load_s": 0.01, "load_lag_s": 0.0, **options}
        return await self.start_server(EngineStandin(EngineOptions(**merged)))

    async def send_order(self, engine, order_id, kind, name="", mib=0, version="1", **fields):
        body = {"order_id": order_id, "kind": kind, "name": name, "version": version}
        headers = fields.pop("headers", {})
        body.update({"memory_mib": mib, **fields})
        return (await self.call(engine, "POST", "/admin/orders", body, **headers)).status

    async def wait_for_state(self, engine, order_id, state="done"):
        await self.wait_until(lambda: engine.orders.states.get(order_id) == state)

    async def read_status(self, engine):
        return (await self.call(engine, "GET", "/admin/status")).json()

    async def test_overcommit_is_refused_and_counted(self):
        """Guards against a load that uses memory which a load in progress has reserved."""
        engine = await self.start_engine(load_s=30.0)
        self.assertEqual(await self.send_order(engine, "o1", "load_model", "m1", 60), 202)
        self.assertEqual(await self.send_order(engine, "o2", "load_model", "m1", 41, "2"), 507)
        status = await self.read_status(engine)
        self.assertEqual((status["used_mib"], status["orders"]["o2"]), (60, "refused"))
        self.assertEqual([r["name"] for r in status["loading"]], ["m1"])
        counts = await self.read_counts(engine)
        self.assertEqual((counts["overcommits"], counts["max_used_mib"]), (1, 60))

    async def test_repeated_order_gets_same_answer_and_runs_once(self):
        """Guards against an order that loads or is counted twice when it is sent again."""
        engine = await self.start_engine()
        for _ in range(3):
            self.assertEqual(await self.send_order(engine, "o1", "load_model", "m1", 60), 202)
            self.assertEqual(await self.send_order(engine, "o2", "load_model", "m2", 60), 507)
        await self.wait_for_state(engine, "o1")
        counts = await self.read_counts(engine)
        self.assertEqual((counts["loads"], counts["overcommits"]), (1, 1))

    async def test_unload_removes_one_version_and_orphaned_adapters(self):
        """Guards against an unload that removes another version or keeps orphaned adapters."""
        engine = await self.start_engine()
        for n, version in enumerate(("1", "2")):
            await self.send_order(engine, f"v{n}", "load_model", "m1", 30, version)
            await self.wait_for_state(engine, f"v{n}")
        early = await self.send_order(engine, "a0", "load_adapter", "a1", 5, base="m9")
        self.assertEqual(early, 422)
        await self.send_order(engine, "a1", "load_adapter", "a1", 5, base="m1")
        await self.wait_for_state(engine, "a1")
        body = {"model": "a1", "prompt": "x", "max_tokens": 2}
        answer = (await self.call(engine, "POST", "/v1/completions", body)).json()
        self.assertEqual(tuple(answer["tokens"]), expected_tokens("a1", "1", "x", 2))
        body["model"] = "m1"
        answer = (await self.call(engine, "POST", "/v1/completions", body)).json()
        self.assertEqual(answer["version"], "1")
        await self.send_order(engine, "u1", "unload_model", "m1", version="1")
        await self.wait_for_state(engine, "u1")
        names = [(r["name"], r["version"]) for r in (await self.read_status(engine))["residents"]]
        self.assertEqual(names, [("m1", "2"), ("a1", "1")])
        await self.send_order(engine, "u2", "unload_model", "m1", version="2")
        await self.wait_for_state(engine, "u2")
        self.assertEqual((await self.read_status(engine))["used_mib"], 0)

    async def test_unload_waits_for_running_requests(self):
        """Guards against memory that is freed while a running request uses it."""
        engine = await self.start_engine(preload=("m1:1:60",))
        await self.set_faults(engine, freeze=True)
        body = {"model": "m1", "prompt": "x"}
        running = asyncio.ensure_future(self.call(engine, "POST", "/v1/completions", body))
        await self.wait_until(lambda: engine.runner.batch.running == 1)
        await self.send_order(engine, "u1", "unload_model", "m1")
        missing = await self.call(engine, "POST", "/v1/completions", body)
        self.assertEqual((missing.status, engine.memory.used_mib), (404, 60))
        await self.set_faults(engine, freeze=False)
        self.assertEqual((await running).status, 200)
        await self.wait_for_state(engine, "u1")
        self.assertEqual(engine.memory.used_mib, 0)

    async def test_stale_fence_is_refused_only_if_checked(self):
        """Guards against a fencing check that ignores the option ``checks_fence``."""
        for checks, expected in ((True, 409), (False, 202)):
            engine = await self.start_engine(checks_fence=checks)
            await self.send_order(engine, "f1", "fence", fence=5)
            late = await self.send_order(engine, "o1", "load_model", "m1", 10, fence=4)
            self.assertEqual(late, expected)
            self.assertEqual((await self.read_status(engine))["fence"], 5 if checks else 0)

    async def test_bearer_token_is_checked(self):
        """Guards against an engine that accepts orders without its bearer token."""
        engine = await self.start_engine(token="secret")
        self.assertEqual(await self.send_order(engine, "o1", "set_role", "decode"), 401)
        good = {"authorization": "Bearer secret"}
        self.assertEqual(
            await self.send_order(engine, "o1", "set_role", "decode", headers=good), 202
        )
        self.assertEqual((await self.read_counts(engine))["role_changes"], 1)

    async def test_lost_order_has_no_effect_and_can_be_repeated(self):
        """Guards against a lost order that appears in the status or blocks its repetition."""
        engine = await self.start_engine()
        await self.set_faults(engine, lose_orders=1)
        self.assertEqual(await self.send_order(engine, "o1", "load_model", "m1", 10), 202)
        self.assertEqual((await self.read_status(engine))["orders"], {})
        self.assertEqual(await self.send_order(engine, "o1", "load_model", "m1", 10), 202)
        await self.wait_for_state(engine, "o1")

    async def test_delayed_order_is_checked_on_arrival(self):
        """Guards against a delayed order of the old lease holder that runs after the takeover."""
        engine = await self.start_engine()
        await self.set_faults(engine, delay_orders_s=1.0)
        self.assertEqual(await self.send_order(engine, "o1", "load_model", "m1", 10, fence=1), 202)
        self.assertEqual((await self.read_status(engine))["orders"], {})
        await self.set_faults(engine, delay_orders_s=0)
        await self.send_order(engine, "f2", "fence", fence=2)
        await self.wait_for_state(engine, "o1", "refused")
        self.assertEqual(engine.memory.used_mib, 0)

    async def test_load_waits_for_the_weight_store(self):
        """Guards against a load that completes before its transfer or after a failed one."""
        transfer_allowed, targets = asyncio.Event(), []

        async def transfer(req, out):
            targets.append(req.target)
            await transfer_allowed.wait()
            await out.send(HttpResponse(200 if req.path == "/weights/m1" else 503))

        store = await self.start_server(HttpServer(transfer, host="127.0.0.1", port=0))
        engine = await self.start_engine(store=store.address)
        await self.send_order(engine, "o1", "load_model", "m1", 10)
        await self.send_order(engine, "o2", "load_adapter", "a1", 5)
        await self.wait_until(lambda: len(targets) == 2)
        self.assertEqual(len((await self.read_status(engine))["loading"]), 2)
        transfer_allowed.set()
        await self.wait_for_state(engine, "o1")
        await self.wait_for_state(engine, "o2", "failed")
        self.assertEqual(engine.memory.used_mib, 10)
