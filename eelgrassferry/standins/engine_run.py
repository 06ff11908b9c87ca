"""The requests of one engine stand-in: batching, prefix cache, streams and their counts."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Callable

from ..http import ExecutionStatus, HttpResponse, Problem, Responder, format_event
from .batch import Batch, BatchSpeed, Job
from .completion import Completion
from .engine_memory import EngineMemory, Resident
from .engine_options import EngineFaults, EngineOptions
from .prefix_cache import PrefixCache
from .standin import refusal
from .tokens import block_hashes, count_prompt_tokens, expected_tokens, request_digest

__all__ = ["EngineRun"]

# After a pause of the process, at most this much progress is made at once.
MAX_ELAPSED_S = 0.1


@dataclasses.dataclass(frozen=True)
class _Work:
    completion: Completion
    resident: Resident


class EngineRun:
    """Runs completions in a batch and answers them whole or as streams.

    ``on_crash`` is called once a request whose prompt contains the crash marker has started.
    """

    def __init__(
        self,
        options: EngineOptions,
        memory: EngineMemory,
        counts: Counter[str],
        read_faults: Callable[[], EngineFaults],
        set_faults: Callable[[EngineFaults], None],
        on_crash: Callable[[], None],
    ) -> None:
        self._options = options
        self._memory = memory
        self._counts = counts
        self._read_faults = read_faults
        self._set_faults = set_faults
        self._on_crash = on_crash
        speed = BatchSpeed(
            options.prefill_tokens_per_s,
            options.decode_tokens_per_s,
            options.stream_tokens_per_s,
            options.max_batch,
            options.max_queue,
        )
        self.batch = Batch(speed, self._start_job)
        self.cache = PrefixCache(options.cache_blocks, gap=options.event_gap, seed=options.seed)
        self.digests: Counter[str] = Counter()
        self._works: dict[Job, _Work] = {}
        self._crashing = False
        self._busy = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to make progress."""
        self._crashing = False
        self._task = asyncio.ensure_future(self._make_progress())

    async def stop(self) -> None:
        """Cancel all requests and stop."""
        self.batch.clear()
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    async def answer(self, completion: Completion, out: Responder) -> None:
        """Run a completion and send its answer; leaving early cancels it."""
        resident = self._memory.find_ready(completion.name, completion.version)
        request_id = completion.request_id
        if resident is None:
            version = f" in version {completion.version}" if completion.version else ""
            detail = f"{completion.name}{version} is not resident"
            problem = Problem(404, "not_resident", ExecutionStatus.NO, detail, request_id)
            await self._refuse(problem, out)
            return
        last = completion.max_tokens
        job = Job(request_id, urgent=completion.urgent, first=completion.first, last=last)
        self._works[job] = _Work(completion, resident)
        self._memory.hold(resident.key)
        try:
            if not self.batch.submit(job):
                problem = Problem(
                    503, "queue_full", ExecutionStatus.NO, "the engine is full", request_id
                )
                await self._refuse(problem, out)
                return
            self._busy.set()
            if completion.stream:
                await self._send_stream(completion, resident, job, out)
            else:
                await self._send_whole(completion, resident, job, out)
        finally:
            self.batch.cancel(job)
            self._memory.let_go(resident.key)
            del self._works[job]

    def _start_job(self, job: Job) -> int:
        work = self._works[job]
        completion, resident = work.completion, work.resident
        prompt = completion.prompt
        self._counts["requests"] += 1
        self.digests[request_digest(completion.name, prompt)] += 1
        marker = self._options.crash_marker
        if marker and marker in prompt:
            self._crashing = True
            self._on_crash()
        block = self._options.block_tokens
        blocks = block_hashes(resident.name, resident.version, prompt, block)
        hits = self.cache.use(blocks, asyncio.get_running_loop().time())
        self._counts["cached_tokens"] += hits * block
        return count_prompt_tokens(prompt) + completion.first - hits * block

    async def _send_stream(
        self, completion: Completion, resident: Resident, job: Job, out: Responder
    ) -> None:
        drop_after = self._take_drop()
        version = resident.version
        tokens = expected_tokens(resident.name, version, completion.prompt, job.last)
        sent = job.first
        while sent < job.last:
            await job.wait_beyond(sent)
            if job.produced == sent:
                await self._end_cancelled(completion, job, out)
                return
            until = job.produced
            if drop_after:
                until = min(until, job.first + drop_after)
            events = (completion.format_event(i, tokens[i], version) for i in range(sent, until))
            await self._start_stream(completion, out)
            await out.write(b"".join(format_event(event) for event in events))
            sent = until
            if drop_after and sent >= job.first + drop_after:
                self._counts["dropped_streams"] += 1
                raise ConnectionResetError("fault: the stream breaks")
        await self._start_stream(completion, out)
        self._counts["completed"] += 1
        await out.write(format_event("[DONE]"))
        await out.finish()

    async def _send_whole(
        self, completion: Completion, resident: Resident, job: Job, out: Responder
    ) -> None:
        await job.wait_beyond(job.last - 1)
        if job.produced < job.last:
            await self._end_cancelled(completion, job, out)
            return
        self._counts["completed"] += 1
        tokens = expected_tokens(resident.name, resident.version, completion.prompt, job.last)
        body = completion.format_answer(tokens[job.first :], resident.version)
        request_id = ("x-request-id", completion.request_id)
        await out.send(HttpResponse.of_json(body, headers=(request_id,)))

    async def _end_cancelled(self, completion: Completion, job: Job, out: Responder) -> None:
        """End a cancelled request: a begun stream breaks, so that it cannot look complete.

        A crashing engine answers nothing, although its connections are cut a loop step later.
        """
        self._counts["cancelled"] += 1
        if out.started or self._crashing:
            raise ConnectionResetError("the request was cancelled")
        ran = ExecutionStatus.YES if job.started else ExecutionStatus.NO
        detail = "the request was cancelled"
        await self._refuse(Problem(499, "cancelled", ran, detail, completion.request_id), out)

    @staticmethod
    async def _start_stream(completion: Completion, out: Responder) -> None:
        if out.started:
            return
        headers = (("content-type", "text/event-stream"), ("x-request-id", completion.request_id))
        await out.start(200, headers)

    def _take_drop(self) -> int:
        """Return after how many tokens the next stream breaks, once; 0 if it does not."""
        faults = self._read_faults()
        if faults.drop_streams_after:
            self._set_faults(dataclasses.replace(faults, drop_streams_after=0))
        return faults.drop_streams_after

    async def _refuse(self, problem: Problem, out: Responder) -> None:
        self._counts[f"refused.{problem.reason}"] += 1
        response = refusal(problem)
        request_id = ("x-request-id", problem.request_id)
        await out.send(dataclasses.replace(response, headers=(*response.headers, request_id)))

    async def _make_progress(self) -> None:
        loop = asyncio.get_running_loop()
        since_s = loop.time()
        while True:
            if not self.batch.running:
                self._busy.clear()
                await self._busy.wait()
                since_s = loop.time()
            await asyncio.sleep(self._options.tick_s)
            now_s = loop.time()
            elapsed_s = min(now_s - since_s, MAX_ELAPSED_S)
            since_s = now_s
            faults = self._read_faults()
            if not faults.freeze:
                self.batch.advance(elapsed_s / max(faults.slow_factor, 0.001))
