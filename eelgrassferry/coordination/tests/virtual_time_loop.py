"""An event loop that runs on virtual time."""

import asyncio

__all__ = ["VirtualTimeLoop"]


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting for it.

    >>> loop = VirtualTimeLoop()
    >>> loop.run_until_complete(asyncio.sleep(60.0))
    >>> loop.time()
    60.0
    """

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def spend(self, seconds: float) -> None:
        """Advance the clock within a callback, as if the callback had taken this time."""
        self._now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()
