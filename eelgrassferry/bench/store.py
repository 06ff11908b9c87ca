"""A simulated weight store with a limited number of concurrent transfers."""

from collections import deque
from collections.abc import Callable

from ..settings import WeightStore
from .clock import Clock

__all__ = ["FakeStore"]


class FakeStore:
    """A weight store that runs up to ``slots`` transfers at a time and queues the others.

    Each transfer takes ``slots / loads_per_s`` seconds, however many run at the time.
    """

    def __init__(self, clock: Clock, settings: WeightStore) -> None:
        self.loads = 0
        self._clock = clock
        self._transfer_s = settings.slots / settings.loads_per_s
        self._free = settings.slots
        self._waiting: deque[Callable[[], None]] = deque()

    def load(self, done: Callable[[], None]) -> None:
        """Start or queue a transfer and call ``done`` when it ends."""
        self.loads += 1
        self._waiting.append(done)
        self._start()

    @property
    def waiting(self) -> int:
        """The number of transfers that wait for a slot."""
        return len(self._waiting)

    def _start(self) -> None:
        while self._free and self._waiting:
            self._free -= 1
            done = self._waiting.popleft()
            self._clock.after(self._transfer_s, lambda done=done: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._free += 1
        done()
        self._start()
