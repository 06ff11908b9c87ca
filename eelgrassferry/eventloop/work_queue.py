"""Turns of the connections that have received more than they may process at once."""

import asyncio
import math
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol
from weakref import WeakKeyDictionary

from .work_meter import WorkMeter

__all__ = ["LONG_STEP_S", "WorkQueue", "current_work_queue"]

# Time in seconds for which queued work is done before other events of the loop get their turn.
SLICE_S = 0.005
# A connection whose step has taken this time gets no turn before those that wait, in seconds: its
# bytes make few events that take long.
LONG_STEP_S = 0.005


class PendingWork(Protocol):
    """Queued work of one connection."""

    kind: str

    def go_on(self) -> bool:
        """Do one step and return whether there are more."""


class WorkQueue:
    """Queue of work that is done in turns of a few milliseconds, one step of each connection.

    All connections of a process share one queue, so what they may do in one iteration of the event
    loop does not depend on their number. ``deferred`` counts how often work was queued, by kind.
    After a step of ``long_step_s`` seconds, a connection does not begin at once.
    """

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, long_step_s: float = LONG_STEP_S
    ) -> None:
        self.clock = clock
        self.long_step_s = long_step_s
        self.meter = WorkMeter()
        self.deferred: Counter[str] = Counter()
        self._queue: deque[PendingWork] = deque()
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, work: PendingWork) -> None:
        """Queue the next steps of a connection's work."""
        self.deferred[work.kind] += 1
        self._queue.append(work)
        self._schedule()

    def _schedule(self) -> None:
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        ends_at = self.clock() + SLICE_S
        try:
            while self._queue:
                work = self._queue.popleft()
                if work.go_on():
                    self._queue.append(work)
                if self.clock() >= ends_at:
                    break
        finally:
            self._schedule()


_QUEUES: WeakKeyDictionary[asyncio.AbstractEventLoop, WorkQueue] = WeakKeyDictionary()


def current_work_queue() -> WorkQueue:
    """Return the queue of the running event loop, or a new one if none is running.

    Without a loop there is nothing to wait for, however long a step takes.
    """
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return WorkQueue(long_step_s=math.inf)
    queue = _QUEUES.get(loop)
    if queue is None:
        queue = _QUEUES[loop] = WorkQueue()
    return queue
