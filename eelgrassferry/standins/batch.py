"""Simulation of an engine's continuous batching. It performs no I/O and has no clock."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Batch", "BatchSpeed", "Job", "JobState"]


class JobState(Enum):
    """The state of a job.

    A job may be cancelled before it runs; ``Job.started`` distinguishes the two cases.
    """

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class BatchSpeed:
    """The speeds, in tokens per second, and the size limits of a batch.

    The decoding jobs share ``decode_tokens_per_s`` equally, up to ``stream_tokens_per_s`` each.
    Prompts are prefilled at ``prefill_tokens_per_s`` in total, in order of admission. At most
    ``max_batch`` jobs run and ``max_queue`` jobs wait.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    stream_tokens_per_s: float
    max_batch: int
    max_queue: int


class Job:
    """One request, which produces the output tokens ``first_index`` to ``end_index - 1``.

    ``produced`` is the index of the next token to produce. ``token_credit`` accumulates fractions
    of a token between two calls of ``Batch.advance``.
    """

    def __init__(self, request_id: str, *, urgent: bool, first_index: int, end_index: int) -> None:
        self.request_id = request_id
        self.urgent = urgent
        self.first_index = first_index
        self.produced = first_index
        self.end_index = end_index
        self.state = JobState.WAITING
        self.started = False
        self.remaining_prefill = 0.0
        self.token_credit = 0.0
        self._changed = asyncio.Event()

    @property
    def ended(self) -> bool:
        """Whether the job is done or cancelled, so that it produces no more tokens."""
        return self.state in (JobState.DONE, JobState.CANCELLED)

    async def wait_for_token(self, index: int) -> None:
        """Wait until token ``index`` has been produced or the job has ended."""
        while self.produced <= index and not self.ended:
            self._changed.clear()
            await self._changed.wait()

    def notify(self) -> None:
        """Wake the task in ``wait_for_token`` to check its condition again."""
        self._changed.set()


class Batch:
    """A queue of waiting jobs and the batch of running jobs.

    Urgent jobs are admitted before patient ones. A running job is never preempted. ``start_job``
    is called at each admission and returns the number of prompt tokens to prefill.
    """

    def __init__(self, speed: BatchSpeed, start_job: Callable[[Job], int]) -> None:
        self._speed = speed
        self._start_job = start_job
        self._urgent: deque[Job] = deque()
        self._patient: deque[Job] = deque()
        self._running: list[Job] = []
        self.produced_tokens = 0

    @property
    def running(self) -> int:
        """The number of running jobs."""
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
        """Queue a job and admit waiting jobs while the batch has free places.

        Return False, and cancel the job, if the queue is full.
        """
        free_places = self._speed.max_batch - self.running
        if self.queued >= self._speed.max_queue + free_places:
            job.state = JobState.CANCELLED
            return False
        (self._urgent if job.urgent else self._patient).append(job)
        self._admit()
        return True

    def advance(self, elapsed_s: float) -> None:
        """Simulate ``elapsed_s`` seconds of prefill and decoding, then admit waiting jobs."""
        decoded = self._stream_rate() * elapsed_s
        budget = self._speed.prefill_tokens_per_s * elapsed_s
        for job in self._running:
            if job.remaining_prefill > 0:
                used = min(budget, job.remaining_prefill)
                budget -= used
                job.remaining_prefill -= used
                # The first output token is produced at the end of the prefill.
                job.token_credit = 1.0 if job.remaining_prefill <= 0 else 0.0
            else:
                job.token_credit += decoded
            self._produce(job)
        self._running = [job for job in self._running if not job.ended]
        self._admit()

    def cancel(self, job: Job) -> None:
        """Cancel a waiting or running job; do nothing if it has ended."""
        if job.ended:
            return
        if job.state is JobState.WAITING:
            (self._urgent if job.urgent else self._patient).remove(job)
        else:
            self._running.remove(job)
        job.state = JobState.CANCELLED
        job.notify()
        self._admit()

    def find(self, request_id: str) -> tuple[Job, ...]:
        """Return the running and waiting jobs with a request id."""
        jobs = (*self._running, *self._urgent, *self._patient)
        return tuple(job for job in jobs if job.request_id == request_id)

    def clear(self) -> None:
        """Cancel all jobs without waking the tasks that wait for them.

        The caller must cancel these tasks.
        """
        jobs = (*self._running, *self._urgent, *self._patient)
        self._running.clear()
        self._urgent.clear()
        self._patient.clear()
        for job in jobs:
            job.state = JobState.CANCELLED

    def _stream_rate(self) -> float:
        decoding = sum(1 for job in self._running if job.remaining_prefill <= 0)
        speed = self._speed
        return min(speed.decode_tokens_per_s / max(1, decoding), speed.stream_tokens_per_s)

    def _admit(self) -> None:
        while self.running < self._speed.max_batch and (self._urgent or self._patient):
            job = (self._urgent or self._patient).popleft()
            job.state = JobState.RUNNING
            job.started = True
            self._running.append(job)
            job.remaining_prefill = max(1.0, self._start_job(job))

    def _produce(self, job: Job) -> None:
        count = min(int(job.token_credit), job.end_index - job.produced)
        if count <= 0 and job.produced < job.end_index:
            return
        job.token_credit -= count
        job.produced += count
        self.produced_tokens += count
        if job.produced >= job.end_index:
            job.state = JobState.DONE
        job.notify()
