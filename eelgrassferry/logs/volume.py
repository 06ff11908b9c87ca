"""Bounds the volume of routine log lines."""

import time
from collections.abc import Callable
from typing import Any

import structlog

__all__ = ["RoutineLimit"]

# Routine lines a second, and at once after a quiet time. A node's usual traffic is 6 to 12
# requests a second with two lines each, so lines are left out only under several times that.
LINES_PER_S = 60.0
BURST_LINES = 240.0
# Every other line, refusals and failures among them, has a bound of its own that protects the
# processor: at some 50 µs a line these lines take at most a fiftieth of a core.
OTHER_LINES_PER_S = 400.0
OTHER_BURST_LINES = 2000.0


class RoutineLimit:
    """A processor of structlog. Lines marked ``routine=True`` are left out above their rate, and
    the next line that passes says how many were.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._at = clock()
        self._routine = BURST_LINES
        self._other = OTHER_BURST_LINES
        self._left_out = 0

    def __call__(self, _logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
        """Pass a line on or raise ``structlog.DropEvent``."""
        now = self._clock()
        passed_s, self._at = now - self._at, now
        self._routine = min(BURST_LINES, self._routine + passed_s * LINES_PER_S)
        self._other = min(OTHER_BURST_LINES, self._other + passed_s * OTHER_LINES_PER_S)
        if event.pop("routine", False):
            allowed = self._routine >= 1.0
            self._routine -= float(allowed)
        else:
            allowed = self._other >= 1.0
            self._other -= float(allowed)
        if not allowed:
            self._left_out += 1
            raise structlog.DropEvent
        if self._left_out:
            event["lines_left_out"], self._left_out = self._left_out, 0
        return event
