"""Tests of the engine stand-in's requests and faults."""

import asyncio

from .. import EngineOptions, EngineStandin, expected_tokens, request_digest
from .support import StandinCase

FAST = {
    "preload": ("m1:1:4000",),
    "decode_tokens_per_s": 20000.0,
    "stream_tokens_per_s": 20000.0,
    "load_s": 0.01,
    "load_lag_s": 0.0,
    "event_lag_s": 0.0,
    "event_gap": 0.0,
}


class EngineTest(StandinCase):
    """One engine over loopback."""

    async def engine(self, **options):
        return await self.serve(EngineStandin(EngineOptions(**{**FAST, **options})))

    async def complete(self, engine, prompt="a b c", path="/v1/completions", **fields):
        body = {"model": "m1", "prompt": prompt, "max_tokens": 4, **fields}
        return await self.call(engine, "POST", path, body)

    async def test_answers_are_complete_whole_streamed_and_resumed(self):
        """Guards against answers that lose, repeat or mix up tokens."""
        engine = await self.engine()
        want = expected_tokens("m1", "1", "a b c", 12)
        whole = await self.complete(engine, max_tokens=12)
        self.assertEqual(tuple(whole.json()["tokens"]), want)
        self.assertEqual(whole.json()["choices"][0]["text"], " ".join(want))
        body = {"model": "m1", "prompt": "a b c", "max_tokens": 12}
        events, done = await self.stream(engine, body)
        self.assertTrue(done)
        self.assertEqual([event["index"] for event in events], list(range(12)))
        self.assertEqual(tuple(event["token"] for event in events), want)
        resume = {"version": "1", "tokens": 5}
        events, done = await self.stream(engine, {**body, "resume": resume})
        self.assertEqual((events[0]["index"], len(events), done), (5, 7, True))
        self.assertEqual(tuple(event["token"] for event in events), want[5:])
        chat = {"messages": [{"role": "user", "content": "hi"}]}
        answer = await self.complete(engine, path="/v1/chat/completions", **chat)
        text = " ".join(expected_tokens("m1", "1", "user: hi", 4))
        self.assertEqual(answer.json()["choices"][0]["message"]["content"], text)

    async def test_refusals_did_not_run(self):
        """Guards against refusals that a node cannot safely send elsewhere."""
        engine = await self.engine(max_batch=1, max_queue=0)
        missing = await self.complete(engine, model="m2")
        self.assertEqual((missing.status, missing.json()["reason"]), (404, "not_resident"))
        self.assertEqual((missing.json()["ran"], missing.header("x-did-not-run")), ("no", "1"))
        old = await self.complete(engine, resume={"version": "0", "tokens": 1})
        self.assertEqual(old.status, 404)
        await self.set_faults(engine, freeze=True)
        running = asyncio.ensure_future(self.complete(engine))
        await self.wait_until(lambda: engine.run.batch.running == 1)
        full = await self.complete(engine)
        self.assertEqual((full.status, full.header("x-did-not-run")), (503, "1"))
        await self.set_faults(engine, freeze=False)
        self.assertEqual((await running).status, 200)
        counts = await self.counts(engine)
        self.assertEqual(counts["requests"], 1)
        self.assertEqual(counts["digests"], {request_digest("m1", "a b c"): 1})

    async def test_cancel_and_hangup_free_the_place(self):
        """Guards against abandoned requests that hold a place of the batch."""
        engine = await self.engine(max_batch=1)
        await self.set_faults(engine, freeze=True)
        body = {"model": "m1", "prompt": "x"}
        hangup = asyncio.ensure_future(self.call(engine, "POST", "/v1/completions", body))
        await self.wait_until(lambda: engine.run.batch.running == 1)
        waiting = asyncio.ensure_future(
            self.call(engine, "POST", "/v1/completions", body, x_request_id="r2")
        )
        await self.wait_until(lambda: engine.run.batch.queued == 1)
        answer = await self.call(engine, "POST", "/v1/cancel", {"request_id": "r2"})
        self.assertEqual(answer.json(), {"cancelled": 1})
        cancelled = await waiting
        self.assertEqual((cancelled.status, cancelled.json()["ran"]), (499, "no"))
        self.assertEqual(cancelled.header("x-request-id"), "r2")
        hangup.cancel()
        await self.wait_until(lambda: engine.run.batch.running == 0)

    async def test_prefix_cache_saves_prefill_and_reports_events(self):
        """Guards against cache events that do not match what the cache holds."""
        engine = await self.engine(block_tokens=4, cache_blocks=4)
        prompt = " ".join(f"w{n}" for n in range(9))
        await self.complete(engine, prompt=prompt)
        await self.complete(engine, prompt=prompt)
        self.assertEqual((await self.counts(engine))["cached_tokens"], 8)
        await self.set_faults(engine, duplicate_events=True)
        answer = (await self.call(engine, "GET", "/admin/events?after=0")).json()
        self.assertEqual([e["kind"] for e in answer["events"]], ["stored", "stored"])
        self.assertEqual((len(answer["events"][0]["blocks"]), answer["next"]), (2, 1))
        late = await self.call(engine, "GET", f"/admin/events?after={answer['next']}")
        self.assertEqual(late.json()["events"], [])

    async def test_dropped_stream_breaks_after_the_given_tokens(self):
        """Guards against a broken stream that looks complete."""
        engine = await self.engine()
        await self.set_faults(engine, drop_streams_after=3)
        body = {"model": "m1", "prompt": "x", "max_tokens": 9}
        events, done = await self.stream(engine, body)
        self.assertEqual((len(events), done), (3, False))
        events, done = await self.stream(engine, body)
        self.assertEqual((len(events), done), (9, True))

    async def test_crash_cuts_all_and_comes_back_empty(self):
        """Guards against a crash that leaves memory, streams or connections behind."""
        engine = await self.engine(crash_marker="BOOM", restart_s=0.2)
        await self.set_faults(engine, freeze=True)
        body = {"model": "m1", "prompt": "x"}
        other = asyncio.ensure_future(self.attempt(engine, "POST", "/v1/completions", body))
        await self.wait_until(lambda: engine.run.batch.running == 1)
        body = {"model": "m1", "prompt": "a BOOM b"}
        crashed = await self.attempt(engine, "POST", "/v1/completions", body)
        self.assertEqual((crashed.is_err(), (await other).is_err()), (True, True))
        refused = await self.attempt(engine, "GET", "/healthz")
        self.assertEqual(refused.err_value.step, "connect")
        await self.wait_until(lambda: engine._crash is None)
        status = (await self.call(engine, "GET", "/admin/status")).json()
        self.assertEqual((status["used_mib"], status["residents"], status["running"]), (0, [], 0))
        counts = await self.counts(engine)
        self.assertEqual(counts["crashes"], 1)
        self.assertEqual(counts["digests"][request_digest("m1", "a BOOM b")], 1)

    async def test_load_report_lags(self):
        """Guards against nodes that rely on a fresh load report."""
        engine = await self.engine(load_lag_s=60.0)
        await self.wait_until(lambda: bool(engine._history.read(0.0)))
        await self.set_faults(engine, freeze=True)
        running = asyncio.ensure_future(self.complete(engine))
        await self.wait_until(lambda: engine.run.batch.running == 1)
        exact = (await self.call(engine, "GET", "/admin/status")).json()
        load = (await self.call(engine, "GET", "/admin/load")).json()
        self.assertEqual((exact["running"], load["running"]), (1, 0))
        self.assertEqual(set(exact), set(load))
        running.cancel()
