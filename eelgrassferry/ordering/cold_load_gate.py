"""Keeps loads from the weight store within its agreed rate."""

import math
from collections import deque

from ..fleet import ServiceBounds

__all__ = ["ColdLoadGate"]

# Loads that may begin in a window beyond the rate (three by agreement); one is left for an order
# without an answer that is carried out late.
EXTRA_LOADS = 2


class ColdLoadGate:
    """Counts loads that begin within the window. The window slides.

    Loads that run at once share the store's speed, so that no more run than its rate needs.

    >>> gate = ColdLoadGate(ServiceBounds(), loads_per_s=1.4, load_s=1.2, now=0.0)
    >>> gate.allowed(0.0, under_way=1), gate.allowed(0.0, under_way=2)
    (True, False)
    """

    def __init__(
        self,
        bounds: ServiceBounds,
        loads_per_s: float,
        load_s: float,
        now: float,
        begun: tuple[float, ...] | None = (),
    ) -> None:
        self._at_once = max(1, math.ceil(loads_per_s * load_s))
        self._window_s = bounds.cold_load_window_s
        most = loads_per_s * bounds.cold_load_window_s * bounds.cold_load_factor + EXTRA_LOADS
        self._most = max(1, int(most))
        # Where it is not known what an earlier coordinator began, it may have used the window up.
        self._begun = deque([now] * self._most if begun is None else begun)

    def allowed(self, now: float, under_way: int) -> bool:
        """Whether a load may begin while some are under way."""
        while self._begun and now - self._begun[0] > self._window_s:
            self._begun.popleft()
        return len(self._begun) < self._most and under_way < self._at_once

    @property
    def begun(self) -> tuple[float, ...]:
        """The times at which the loads of the window began."""
        return tuple(self._begun)

    def note_begun(self, now: float) -> None:
        """Count a load that begins now."""
        self._begun.append(now)
