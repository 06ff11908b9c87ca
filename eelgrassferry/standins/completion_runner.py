"""Execution of completion requests: batching, prefix cache, streams and their counts."""

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
from .standin import problem_response
from .tokens import block_hashes, count_prompt_tokens, expected_tokens, request_digest

__all__ = ["CompletionRunner"]

# Limit of the time that one step of the batch simulates, so that the batch does not catch up at
# once after a pause of the process.
MAX_ELAPSED_S = 0.1


@dataclasses.dataclass(frozen=True)
class _Submission:
    """A submitted completion and the resident that serves it."""

    completion: Completion
    resident: Resident


class CompletionRunner:
    """Runner of completions in a batch, which answers them as one response or as a stream.

    ``on_crash`` is called when a request whose prompt contains the crash marker starts. ``digests``
    counts the starts of each request digest.
    """

    def __init__(
        self,
        options: EngineOptions,
        memory: EngineMemory,
        counts: Counter[str],
        get_faults: Callable[[], EngineFaults],
        set_faults: Callable[[EngineFaults], None],
        on_crash: Callable[[], None],
    ) -> None:
        self._options = options
        self._memory = memory
        self._counts = counts
        self._get_faults = get_faults
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
        self._submissions: dict[Job, _Submission] = {}
        self._crashing = False
        self._has_work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that advances the batch."""
        self._crashing = False
        self._task = asyncio.ensure_future(self._advance_batch())

    async def stop(self) -> None:
        """Cancel all requests and stop the task that advances the batch."""
        self.batch.clear()
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    async def answer(self, completion: Completion, out: Responder) -> None:
        """Run a completion and send its answer; cancellation of the task cancels the completion."""
        resident = self._memory.find_ready(completion.name, completion.version)
        request_id = completion.request_id
        if resident is None:
            version = f" in version {completion.version}" if completion.version else ""
            detail = f"{completion.name}{version} is not resident"
            problem = Problem(404, "not_resident", ExecutionStatus.NO, detail, request_id)
            await self._refuse(problem, out)
            return
        end_index = completion.max_tokens
        job = Job(
            request_id,
            urgent=completion.urgent,
            first_index=completion.first_index,
            end_index=end_index,
        )
        self._submissions[job] = _Submission(completion, resident)
        self._memory.add_user(resident.key)
        try:
            if not self.batch.submit(job):
                problem = Problem(
                    503, "queue_full", ExecutionStatus.NO, "the engine is full", request_id
                )
                await self._refuse(problem, out)
                return
            self._has_work.set()
            if completion.stream:
                await self._send_stream(completion, resident, job, out)
            else:
                await self._send_response(completion, resident, job, out)
        finally:
            self.batch.cancel(job)
            self._memory.remove_user(resident.key)
            del self._submissions[job]

    def _start_job(self, job: Job) -> int:
        submission = self._submissions[job]
        completion, resident = submission.completion, submission.resident
        prompt = completion.prompt
        self._counts["requests"] += 1
        self.digests[request_digest(completion.name, prompt)] += 1
        marker = self._options.crash_marker
        if marker and marker in prompt:
            self._crashing = True
            self._on_crash()
        block_tokens = self._options.block_tokens
        blocks = block_hashes(resident.name, resident.version, prompt, block_tokens)
        hits = self.cache.use(blocks, asyncio.get_running_loop().time())
        self._counts["cached_tokens"] += hits * block_tokens
        return count_prompt_tokens(prompt) + completion.first_index - hits * block_tokens

    async def _send_stream(
        self, completion: Completion, resident: Resident, job: Job, out: Responder
    ) -> None:
        drop_after = self._pop_drop_limit()
        version = resident.version
        tokens = expected_tokens(resident.name, version, completion.prompt, job.end_index)
        sent = job.first_index
        while sent < job.end_index:
            await job.wait_for_token(sent)
            if job.produced == sent:
                await self._end_cancelled(completion, job, out)
                return
            end = job.produced
            if drop_after:
                end = min(end, job.first_index + drop_after)
            events = (completion.format_event(i, tokens[i], version) for i in range(sent, end))
            await self._start_stream(completion, out)
            await out.write(b"".join(format_event(event) for event in events))
            sent = end
            if drop_after and sent >= job.first_index + drop_after:
                self._counts["dropped_streams"] += 1
                raise ConnectionResetError("fault: the stream breaks")
        await self._start_stream(completion, out)
        self._counts["completed"] += 1
        await out.write(format_event("[DONE]"))
        await out.finish()

    async def _send_response(
        self, completion: Completion, resident: Resident, job: Job, out: Responder
    ) -> None:
        await job.wait_for_token(job.end_index - 1)
        if job.produced < job.end_index:
            await self._end_cancelled(completion, job, out)
            return
        self._counts["completed"] += 1
        tokens = expected_tokens(resident.name, resident.version, completion.prompt, job.end_index)
        body = completion.format_answer(tokens[job.first_index :], resident.version)
        request_id = ("x-request-id", completion.request_id)
        await out.send(HttpResponse.of_json(body, headers=(request_id,)))

    async def _end_cancelled(self, completion: Completion, job: Job, out: Responder) -> None:
        """End a cancelled request with status 499, or by closing the connection.

        The connection is closed if the stream has started, since an orderly end would make the
        stream appear complete, or if the engine is crashing, since its connections are closed only
        in a later iteration of the event loop. Raises ``ConnectionResetError`` in these cases.
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

    def _pop_drop_limit(self) -> int:
        """Return and reset the number of tokens after which the next stream breaks, 0 for none."""
        faults = self._get_faults()
        if faults.drop_streams_after:
            self._set_faults(dataclasses.replace(faults, drop_streams_after=0))
        return faults.drop_streams_after

    async def _refuse(self, problem: Problem, out: Responder) -> None:
        self._counts[f"refused.{problem.reason}"] += 1
        response = problem_response(problem)
        request_id = ("x-request-id", problem.request_id)
        await out.send(dataclasses.replace(response, headers=(*response.headers, request_id)))

    async def _advance_batch(self) -> None:
        loop = asyncio.get_running_loop()
        previous_s = loop.time()
        while True:
            if not self.batch.running:
                self._has_work.clear()
                await self._has_work.wait()
                previous_s = loop.time()
            await asyncio.sleep(self._options.tick_s)
            now_s = loop.time()
            elapsed_s = min(now_s - previous_s, MAX_ELAPSED_S)
            previous_s = now_s
            faults = self._get_faults()
            if not faults.freeze:
                self.batch.advance(elapsed_s / max(faults.slow_factor, 0.001))
