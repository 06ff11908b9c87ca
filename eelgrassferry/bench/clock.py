"""Virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["Clock"]


class Clock:
    """Calls functions at virtual times, in order of time and then of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call a function at a time, not before now."""
        heapq.heappush(self._due, (max(time, self.now), next(self._order), call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.at(self.now + delay_s, call)

    def every(self, period_s: float, until: float, call: Callable[[], None]) -> None:
        """Call a function now and then once in each period up to ``until``."""

        def step() -> None:
            call()
            if self.now + period_s <= until:
                self.after(period_s, step)

        self.at(self.now, step)

    def run(self, until: float) -> None:
        """Run everything that is due up to ``until``."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until
