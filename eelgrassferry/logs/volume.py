"""Limits on the volume of log lines."""

import time
from collections.abc import Callable
from typing import Any

import structlog

__all__ = ["LogVolumeLimiter"]

# Token bucket for routine lines. The usual traffic of a node is 6 to 12 requests a second with two
# lines each, so lines are left out only at several times that load.
ROUTINE_LINES_PER_S = 60.0
ROUTINE_BURST_LINES = 240.0
# Token bucket for all other lines, including refusals and failures. It limits the CPU time: at
# about 50 µs a line, these lines use at most a fiftieth of a core.
OTHER_LINES_PER_S = 400.0
OTHER_BURST_LINES = 2000.0


class LogVolumeLimiter:
    """A structlog processor that limits the rate of log lines with two token buckets.

    Lines marked ``routine=True`` use one bucket, all other lines the other. The field
    ``lines_left_out`` of the next line that passes is the number of lines left out before it.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._updated_at = clock()
        self._routine_tokens = ROUTINE_BURST_LINES
        self._other_tokens = OTHER_BURST_LINES
        self._left_out = 0

    def __call__(self, _logger: Any, _method: str, event: dict[str, Any]) -> dict[str, Any]:
        """Return the event, or raise ``structlog.DropEvent`` if it exceeds the limit."""
        now = self._clock()
        elapsed_s, self._updated_at = now - self._updated_at, now
        self._routine_tokens = min(
            ROUTINE_BURST_LINES, self._routine_tokens + elapsed_s * ROUTINE_LINES_PER_S
        )
        self._other_tokens = min(
            OTHER_BURST_LINES, self._other_tokens + elapsed_s * OTHER_LINES_PER_S
        )
        if event.pop("routine", False):
            allowed = self._routine_tokens >= 1.0
            self._routine_tokens -= float(allowed)
        else:
            allowed = self._other_tokens >= 1.0
            self._other_tokens -= float(allowed)
        if not allowed:
            self._left_out += 1
            raise structlog.DropEvent
        if self._left_out:
            event["lines_left_out"], self._left_out = self._left_out, 0
        return event
