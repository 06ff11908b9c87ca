"""Formatting of durations in log lines."""

import math

__all__ = ["to_whole_ms"]


def to_whole_ms(seconds: float) -> int | None:
    """Return a duration in whole milliseconds, or None if it is infinite (unknown).

    >>> to_whole_ms(0.0125), to_whole_ms(float("inf"))
    (12, None)
    """
    return round(seconds * 1000) if math.isfinite(seconds) else None
