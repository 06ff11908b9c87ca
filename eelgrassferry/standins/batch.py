"""Continuous batching of the engine stand-in, without I/O."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Batch", "BatchSpeed", "Job", "JobState"]


class JobState(Enum):
    """How far a job is. A job that was cancelled while it waited did not run."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class BatchSpeed:
    """Speeds in tokens a second.

    The running streams share ``decode_tokens_per_s`` equally, and no stream gets more than
    ``stream_tokens_per_s``; prompts share ``prefill_tokens_per_s`` in order of admission.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    stream_tokens_per_s: float
    max_batch: int
    max_queue: int


class Job:
    """One request: output tokens ``first`` up to ``last`` (exclusive) are to be produced."""

    def __init__(self, request_id: str, *, urgent: bool, first: int, last: int) -> None:
        self.request_id = request_id
        self.urgent = urgent
        self.first = first
        self.produced = first
        self.last = last
        self.state = JobState.WAITING
        self.started = False
        self.prefill_left = 0.0
        self.credit = 0.0
        self._changed = asyncio.Event()

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.state in (JobState.DONE, JobState.CANCELLED)

    async def wait_beyond(self, index: int) -> None:
        """Wait until a token of number ``index`` or later is there, or the job has ended."""
        while self.produced <= index and not self.ended:
            self._changed.clear()
            await self._changed.wait()

    def wake(self) -> None:
        """Let ``wait_beyond`` look again."""
        self._changed.set()


class Batch:
    """Admits waiting jobs, urgent ones first, and advances the running ones.

    ``start_job`` is called at each admission and returns the number of tokens to prefill.
    A running job is never interrupted for another one.
    """

    def __init__(self, speed: BatchSpeed, start_job: Callable[[Job], int]) -> None:
        self._speed = speed
        self._start_job = start_job
        self._urgent: deque[Job] = deque()
        self._patient: deque[Job] = deque()
        self._running: list[Job] = []
        self.tokens = 0

    @property
    def running(self) -> int:
        """The number of admitted jobs."""
        return len(self._running)

    @property
    def queued_urgent(self) -> int:
        """The number of waiting urgent jobs."""
        return len(self._urgent)

    @property
    def queued(self) -> int:
        """The number of waiting jobs."""
        return len(self._urgent) + len(self._patient)

    def submit(self, job: Job) -> bool:
        """Queue a job and admit what fits; False means the queue is full and nothing changed."""
        free = self._speed.max_batch - self.running
        if self.queued >= self._speed.max_queue + free:
            job.state = JobState.CANCELLED
            return False
        (self._urgent if job.urgent else self._patient).append(job)
        self._admit()
        return True

    def advance(self, elapsed_s: float) -> None:
        """Prefill and decode for a time, then admit into the places that became free."""
        share = self._share() * elapsed_s
        budget = self._speed.prefill_tokens_per_s * elapsed_s
        for job in self._running:
            if job.prefill_left > 0:
                used = min(budget, job.prefill_left)
                budget -= used
                job.prefill_left -= used
                # The prefill ends with the first output token.
                job.credit = 1.0 if job.prefill_left <= 0 else 0.0
            else:
                job.credit += share
            self._emit(job)
        self._running = [job for job in self._running if not job.ended]
        self._admit()

    def cancel(self, job: Job) -> None:
        """Take a job out; a job that has ended stays as it is."""
        if job.ended:
            return
        if job.state is JobState.WAITING:
            (self._urgent if job.urgent else self._patient).remove(job)
        else:
            self._running.remove(job)
        job.state = JobState.CANCELLED
        job.wake()
        self._admit()

    def find(self, request_id: str) -> tuple[Job, ...]:
        """Return the waiting and running jobs of a request id."""
        held = (*self._running, *self._urgent, *self._patient)
        return tuple(job for job in held if job.request_id == request_id)

    def clear(self) -> None:
        """Drop all jobs and admit none; tasks that wait for them are cancelled, not woken."""
        held = (*self._running, *self._urgent, *self._patient)
        self._running.clear()
        self._urgent.clear()
        self._patient.clear()
        for job in held:
            job.state = JobState.CANCELLED

    def _share(self) -> float:
        decoding = sum(1 for job in self._running if job.prefill_left <= 0)
        speed = self._speed
        return min(speed.decode_tokens_per_s / max(1, decoding), speed.stream_tokens_per_s)

    def _admit(self) -> None:
        while self.running < self._speed.max_batch and (self._urgent or self._patient):
            job = (self._urgent or self._patient).popleft()
            job.state = JobState.RUNNING
            job.started = True
            self._running.append(job)
            job.prefill_left = max(1.0, self._start_job(job))

    def _emit(self, job: Job) -> None:
        count = min(int(job.credit), job.last - job.produced)
        if count <= 0 and job.produced < job.last:
            return
        job.credit -= count
        job.produced += count
        self.tokens += count
        if job.produced >= job.last:
            job.state = JobState.DONE
        job.wake()
