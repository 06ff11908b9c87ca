"""The work that received bytes cause on one connection."""

import asyncio
from collections.abc import Callable

import structlog

from .work_queue import WorkQueue, current_work_queue

__all__ = ["Work"]

log = structlog.get_logger()

# Events that are processed at once when bytes arrive. Requests and answers of ordinary size have
# fewer, so that they wait for nothing.
EVENTS_PER_STEP = 32
# Time in seconds for which a connection that had more gets no turn before those that wait.
DEFERRAL_S = 1.0
# Time of queued work on one connection that is logged, in seconds; doubled with each line.
LOGGED_WORK_S = 1.0


class Work:
    """Work on the received bytes of one connection, which is done in steps.

    ``step`` processes up to the given number of events and returns whether there are more. The
    first step is done at once, unless an earlier one has taken long, all others in turn with those
    of the other connections, so that no connection holds the event loop. While ``is_pending``, the
    connection should not read.

    ``on_done`` is called after the last step if there was more than one. ``on_error`` is called
    with an error that a step has raised, unless ``run`` raises it. ``kind`` and ``peer`` describe
    the connection in logs.

    >>> work = Work("example", lambda limit: print("a step of up to", limit), lambda: "10.0.0.1:80")
    >>> work.submit()
    a step of up to 32
    """

    def __init__(
        self,
        kind: str,
        step: Callable[[int], bool],
        peer: Callable[[], str] = lambda: "",
        on_done: Callable[[], None] = lambda: None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        self.kind = kind
        self.peer = peer
        self.is_pending = False
        self._step = step
        self._on_done = on_done
        self._on_error = on_error
        self._queue: WorkQueue = current_work_queue()
        self._deferred_at = float("-inf")
        self._queued_work_s = 0.0
        self._log_at_s = LOGGED_WORK_S
        self._waiter: asyncio.Future[None] | None = None

    def submit(self) -> None:
        """Start to process received bytes; without effect while work is pending."""
        if self.is_pending:
            return
        is_heavy = self._queue.clock() - self._deferred_at < DEFERRAL_S
        if is_heavy or self._do_step():
            self._defer()

    async def run(self) -> None:
        """Process received bytes and return after the last step, or raise its error."""
        self.submit()
        if not self.is_pending:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
            self.cancel()

    def cancel(self) -> None:
        """Skip the steps that are left, because the connection has ended."""
        self.is_pending = False

    def go_on(self) -> bool:
        """Do one further step of pending work and return whether there are more."""
        if not self.is_pending:
            return False
        try:
            if self._do_step() and self.is_pending:
                return True
        except Exception as exc:
            self._fail(exc)
            return False
        if self.is_pending:
            self._finish()
        return False

    def _do_step(self) -> bool:
        started_at = self._queue.clock()
        try:
            return self._step(EVENTS_PER_STEP)
        finally:
            ended_at = self._queue.clock()
            duration_s = ended_at - started_at
            self._queue.meter.add(self, duration_s)
            if duration_s >= self._queue.long_step_s:
                self._deferred_at = ended_at
            if self.is_pending:
                self._log_queued_work(duration_s)

    def _log_queued_work(self, duration_s: float) -> None:
        self._queued_work_s += duration_s
        if self._queued_work_s >= self._log_at_s:
            self._log_at_s *= 2.0
            log.warning(
                "peer causes much work",
                step="receive",
                peer=self.peer(),
                kind=self.kind,
                work_ms=round(1000.0 * self._queued_work_s),
            )

    def _defer(self) -> None:
        self.is_pending = True
        self._deferred_at = self._queue.clock()
        self._queue.add(self)

    def _finish(self) -> None:
        self.is_pending = False
        self._deferred_at = self._queue.clock()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._on_done()

    def _fail(self, exc: Exception) -> None:
        self.is_pending = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(exc)
            return
        log.error("work failed", step="receive", peer=self.peer(), kind=self.kind, exc_info=exc)
        if self._on_error is not None:
            self._on_error(exc)
