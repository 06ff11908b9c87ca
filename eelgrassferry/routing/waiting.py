"""Queued requests, per model or adapter, in two classes."""

import heapq
from collections.abc import Iterator
from itertools import count

from .job import Job

__all__ = ["ModelQueue"]


class ModelQueue:
    """Requests of one name, earliest deadline first within each class, bounded in length.

    A job that ends while it waits is only marked; it is dropped when it comes up.
    """

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self._limit = limit
        self._order = count()
        self._heaps: dict[bool, list[tuple[float, int, Job]]] = {True: [], False: []}
        self._sizes = {True: 0, False: 0}

    def size(self, urgent: bool) -> int:
        """Return how many jobs of a class wait."""
        return self._sizes[urgent]

    def is_full(self, urgent: bool) -> bool:
        """Return whether a class has reached its bound."""
        return self._sizes[urgent] >= self._limit

    def push(self, job: Job) -> None:
        """Queue a job. The bound is the caller's to check: a resumed job is never turned away."""
        urgent = job.request.urgent
        job.queued = True
        heapq.heappush(self._heaps[urgent], (job.deadline_at, next(self._order), job))
        self._sizes[urgent] += 1

    def remove(self, job: Job) -> None:
        """Take a waiting job out."""
        if job.queued:
            job.queued = False
            self._sizes[job.request.urgent] -= 1

    def head(self, urgent: bool) -> Job | None:
        """Return the job of a class whose turn is next."""
        heap = self._heaps[urgent]
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def next(self) -> Job | None:
        """Return the job whose turn is next: an urgent one as long as one waits."""
        return self.head(True) or self.head(False)

    def expired(self, now: float) -> Iterator[Job]:
        """Yield the waiting jobs whose deadline has passed."""
        for urgent in (True, False):
            while (job := self.head(urgent)) is not None and job.deadline_at < now:
                self.remove(job)
                yield job

    def __len__(self) -> int:
        return self._sizes[True] + self._sizes[False]
