"""The clock and event queue of the simulation."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["Clock"]


class Clock:
    """A virtual clock that calls functions at scheduled times.

    Functions with the same time are called in the order in which they were scheduled. All times
    are in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a call at a time; a time in the past means the current time."""
        heapq.heappush(self._scheduled, (max(time, self.now), next(self._sequence), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay_s, callback)

    def every(self, period_s: float, until: float, callback: Callable[[], None]) -> None:
        """Schedule a call for the current time, and repeat it every ``period_s`` to ``until``."""

        def step() -> None:
            callback()
            if self.now + period_s <= until:
                self.after(period_s, step)

        self.at(self.now, step)

    def run(self, until: float) -> None:
        """Run all calls that are due up to ``until`` and advance the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = until
