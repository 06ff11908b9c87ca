"""Queue of the waiting requests of a model or adapter, in an urgent and a patient class."""

import heapq
from collections.abc import Iterator
from itertools import count

from .job import Job

__all__ = ["ModelQueue"]


class ModelQueue:
    """Bounded queue of one model or adapter, earliest deadline first within each class.

    A job that is removed while it waits stays in the heap and is skipped when it reaches the head.
    """

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self._limit = limit
        self._sequence = count()
        self._heaps: dict[bool, list[tuple[float, int, Job]]] = {True: [], False: []}
        self._sizes = {True: 0, False: 0}

    def size(self, urgent: bool) -> int:
        """Return the number of waiting jobs of a class."""
        return self._sizes[urgent]

    def is_full(self, urgent: bool) -> bool:
        """Return whether a class has reached its maximum length."""
        return self._sizes[urgent] >= self._limit

    def push(self, job: Job) -> None:
        """Add a job.

        The maximum length is checked by the caller, because resumed jobs are always queued.
        """
        urgent = job.request.urgent
        job.queued = True
        heapq.heappush(self._heaps[urgent], (job.deadline_at, next(self._sequence), job))
        self._sizes[urgent] += 1

    def remove(self, job: Job) -> None:
        """Remove a waiting job."""
        if job.queued:
            job.queued = False
            self._sizes[job.request.urgent] -= 1

    def peek_class(self, urgent: bool) -> Job | None:
        """Return the next job of a class, or None if it is empty."""
        heap = self._heaps[urgent]
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def peek(self) -> Job | None:
        """Return the next job, urgent ones first, or None if the queue is empty."""
        return self.peek_class(True) or self.peek_class(False)

    def pop_expired(self, now: float) -> Iterator[Job]:
        """Remove and yield the waiting jobs whose deadline has passed."""
        for urgent in (True, False):
            while (job := self.peek_class(urgent)) is not None and job.deadline_at < now:
                self.remove(job)
                yield job

    def __len__(self) -> int:
        return self._sizes[True] + self._sizes[False]
