"""Tests of the completion requests and the faults of the engine stand-in."""

import asyncio

from .. import EngineOptions, EngineStandin, expected_tokens, request_digest
from .support import StandinTestCase

FAST_OPTIONS = {
    "preload": ("m1:1:4000",),
    "decode_tokens_per_s": 20000.0,
    "stream_tokens_per_s": 20000.0,
    "load_s": 0.01,
    "load_lag_s": 0.0,
    "event_lag_s": 0.0,
    "event_gap": 0.0,
}


class EngineTest(StandinTestCase):
    """Requests to one engine over the loopback interface."""

    async def start_engine(self, **options):
        return await self.start_server(EngineStandin(EngineOptions(**{**FAST_OPTIONS, **options})))

    async def complete(self, engine, prompt="a b c", path="/v1/completions", **fields):
        body = {"model": "m1", "prompt": prompt, "max_tokens": 4, **fields}
        return await self.call(engine, "POST", path, body)

    async def test_plain_streamed_and_resumed_answers_are_complete(self):
        """Guards against answers with missing, repeated or reordered tokens."""
        engine = await self.start_engine()
        expected = expected_tokens("m1", "1", "a b c", 12)
        whole = await self.complete(engine, max_tokens=12)
        self.assertEqual(tuple(whole.json()["tokens"]), expected)
        self.assertEqual(whole.json()["choices"][0]["text"], " ".join(expected))
        body = {"model": "m1", "prompt": "a b c", "max_tokens": 12}
        events, done = await self.stream_completion(engine, body)
        self.assertTrue(done)
        self.assertEqual([event["index"] for event in events], list(range(12)))
        self.assertEqual(tuple(event["token"] for event in events), expected)
        resume = {"version": "1", "tokens": 5}
        events, done = await self.stream_completion(engine, {**body, "resume": resume})
        self.assertEqual((events[0]["index"], len(events), done), (5, 7, True))
        self.assertEqual(tuple(event["token"] for event in events), expected[5:])
        chat = {"messages": [{"role": "user", "content": "hi"}]}
        answer = await self.complete(engine, path="/v1/chat/completions", **chat)
        text = " ".join(expected_tokens("m1", "1", "user: hi", 4))
        self.assertEqual(answer.json()["choices"][0]["message"]["content"], text)

    async def test_refused_requests_are_marked_as_not_run(self):
        """Guards against refusals after which a node cannot safely retry at another engine.

        A refused request must be marked as not run, and must not be counted as started.
        """
        engine = await self.start_engine(max_batch=1, max_queue=0)
        missing = await self.complete(engine, model="m2")
        self.assertEqual((missing.status, missing.json()["reason"]), (404, "not_resident"))
        self.assertEqual((missing.json()["ran"], missing.header("x-did-not-run")), ("no", "1"))
        old = await self.complete(engine, resume={"version": "0", "tokens": 1})
        self.assertEqual(old.status, 404)
        await self.set_faults(engine, freeze=True)
        running = asyncio.ensure_future(self.complete(engine))
        await self.wait_until(lambda: engine.runner.batch.running == 1)
        full = await self.complete(engine)
        self.assertEqual((full.status, full.header("x-did-not-run")), (503, "1"))
        await self.set_faults(engine, freeze=False)
        self.assertEqual((await running).status, 200)
        counts = await self.read_counts(engine)
        self.assertEqual(counts["requests"], 1)
        self.assertEqual(counts["digests"], {request_digest("m1", "a b c"): 1})

    async def test_cancel_and_hangup_free_the_batch(self):
        """Guards against requests that occupy the batch after their caller cancelled or hung up."""
        engine = await self.start_engine(max_batch=1)
        await self.set_faults(engine, freeze=True)
        body = {"model": "m1", "prompt": "x"}
        hangup = asyncio.ensure_future(self.call(engine, "POST", "/v1/completions", body))
        await self.wait_until(lambda: engine.runner.batch.running == 1)
        waiting = asyncio.ensure_future(
            self.call(engine, "POST", "/v1/completions", body, x_request_id="r2")
        )
        await self.wait_until(lambda: engine.runner.batch.queued == 1)
        answer = await self.call(engine, "POST", "/v1/cancel", {"request_id": "r2"})
        self.assertEqual(answer.json(), {"cancelled": 1})
        cancelled = await waiting
        self.assertEqual((cancelled.status, cancelled.json()["ran"]), (499, "no"))
        self.assertEqual(cancelled.header("x-request-id"), "r2")
        hangup.cancel()
        await self.wait_until(lambda: engine.runner.batch.running == 0)

    async def test_prefix_cache_saves_prefill_and_reports_events(self):
        """Guards against prompts that are prefilled again, and wrong or repeated cache events."""
        engine = await self.start_engine(block_tokens=4, cache_blocks=4)
        prompt = " ".join(f"w{n}" for n in range(9))
        await self.complete(engine, prompt=prompt)
        await self.complete(engine, prompt=prompt)
        self.assertEqual((await self.read_counts(engine))["cached_tokens"], 8)
        await self.set_faults(engine, duplicate_events=True)
        answer = (await self.call(engine, "GET", "/admin/events?after=0")).json()
        self.assertEqual([e["kind"] for e in answer["events"]], ["stored", "stored"])
        self.assertEqual((len(answer["events"][0]["blocks"]), answer["next"]), (2, 1))
        late = await self.call(engine, "GET", f"/admin/events?after={answer['next']}")
        self.assertEqual(late.json()["events"], [])

    async def test_dropped_stream_breaks_after_given_number_of_tokens(self):
        """Guards against a broken stream that appears complete, and a fault that repeats."""
        engine = await self.start_engine()
        await self.set_faults(engine, drop_streams_after=3)
        body = {"model": "m1", "prompt": "x", "max_tokens": 9}
        events, done = await self.stream_completion(engine, body)
        self.assertEqual((len(events), done), (3, False))
        events, done = await self.stream_completion(engine, body)
        self.assertEqual((len(events), done), (9, True))

    async def test_crash_closes_connections_and_clears_state(self):
        """Guards against memory, streams or connections that survive a crash."""
        engine = await self.start_engine(crash_marker="BOOM", restart_s=0.2)
        await self.set_faults(engine, freeze=True)
        body = {"model": "m1", "prompt": "x"}
        other = asyncio.ensure_future(self.try_call(engine, "POST", "/v1/completions", body))
        await self.wait_until(lambda: engine.runner.batch.running == 1)
        body = {"model": "m1", "prompt": "a BOOM b"}
        crashed = await self.try_call(engine, "POST", "/v1/completions", body)
        self.assertEqual((crashed.is_err(), (await other).is_err()), (True, True))
        refused = await self.try_call(engine, "GET", "/healthz")
        self.assertEqual(refused.err_value.step, "connect")
        await self.wait_until(lambda: engine._crash_task is None)
        status = (await self.call(engine, "GET", "/admin/status")).json()
        self.assertEqual((status["used_mib"], status["residents"], status["running"]), (0, [], 0))
        counts = await self.read_counts(engine)
        self.assertEqual(counts["crashes"], 1)
        self.assertEqual(counts["digests"][request_digest("m1", "a BOOM b")], 1)

    async def test_load_report_is_delayed(self):
        """Guards against a load report without delay, which would hide nodes that rely on it."""
        engine = await self.start_engine(load_lag_s=60.0)
        await self.wait_until(lambda: bool(engine._load_history.read(0.0)))
        await self.set_faults(engine, freeze=True)
        running = asyncio.ensure_future(self.complete(engine))
        await self.wait_until(lambda: engine.runner.batch.running == 1)
        exact = (await self.call(engine, "GET", "/admin/status")).json()
        load = (await self.call(engine, "GET", "/admin/load")).json()
        self.assertEqual((exact["running"], load["running"]), (1, 0))
        self.assertEqual(set(exact), set(load))
        running.cancel()
