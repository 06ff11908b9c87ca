"""Simulated transfers that share a rate."""

import asyncio

from .shared_rate import SharedRate

__all__ = ["Transfers"]


class Transfers:
    """Timer for transfers that share ``slots`` full-speed slots, as in ``SharedRate``.

    ``max_in_transit`` is the maximum number of concurrent transfers.
    """

    def __init__(self, slots: int) -> None:
        self.max_in_transit = 0
        self._rate = SharedRate(slots)
        self._futures: set[asyncio.Future[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, work_s: float) -> None:
        """Wait for a transfer that takes ``work_s`` seconds at full speed.

        Raises ``ConnectionResetError`` if ``abort_all`` is called.
        """
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

    def abort_all(self) -> None:
        """End all transfers with ``ConnectionResetError``."""
        for fut in self._futures:
            if not fut.done():
                fut.set_exception(ConnectionResetError("fault: the transfer is cut"))

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        next_end_s = self._rate.next_end_s()
        loop = asyncio.get_running_loop()
        self._timer = (
            None if next_end_s is None else loop.call_at(next_end_s, self._complete_finished)
        )

    def _complete_finished(self) -> None:
        for fut in self._rate.pop_finished(asyncio.get_running_loop().time()):
            if isinstance(fut, asyncio.Future) and not fut.done():
                fut.set_result(None)
        self._schedule()
