"""Timed transfers that share a rate."""

import asyncio

from .shared_rate import SharedRate

__all__ = ["Transfers"]


class Transfers:
    """Lets tasks wait for the time of their transfer under a ``SharedRate``."""

    def __init__(self, slots: int) -> None:
        self.max_in_transit = 0
        self._rate = SharedRate(slots)
        self._futures: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, work_s: float) -> None:
        """Return when ``work_s`` seconds of work at full speed are done."""
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()
        self._rate.add(fut, work_s, loop.time())
        self._futures.add(fut)
        self.max_in_transit = max(self.max_in_transit, len(self._rate))
        self._schedule()
        try:
            await fut
        finally:
            self._futures.discard(fut)
            self._rate.remove(fut, loop.time())
            self._schedule()

    def cut(self) -> None:
        """Break all transfers with ``ConnectionResetError``."""
        for fut in self._futures:
            if not fut.done():
                fut.set_exception(ConnectionResetError("fault: the transfer is cut"))

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due_s = self._rate.due_at()
        loop = asyncio.get_running_loop()
        self._timer = None if due_s is None else loop.call_at(due_s, self._finish)

    def _finish(self) -> None:
        for fut in self._rate.take_finished(asyncio.get_running_loop().time()):
            if isinstance(fut, asyncio.Future) and not fut.done():
                fut.set_result(None)
        self._schedule()
