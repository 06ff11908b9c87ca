"""Jittered exponential backoff."""

from random import Random

__all__ = ["Backoff"]


class Backoff:
    """Exponentially growing delays with jitter.

    The nominal delay doubles from ``first_s`` up to ``last_s`` seconds. Each returned delay is
    drawn uniformly from the upper half of the nominal delay.

    >>> 0.05 <= Backoff(Random(1)).next_delay() <= 0.1
    True
    """

    def __init__(self, rng: Random, first_s: float = 0.1, last_s: float = 4.0) -> None:
        self._rng = rng
        self._first_s = first_s
        self._last_s = last_s
        self._current_s = first_s

    def next_delay(self) -> float:
        """Return the delay in seconds before the next attempt."""
        delay = self._current_s * self._rng.uniform(0.5, 1.0)
        self._current_s = min(self._current_s * 2.0, self._last_s)
        return delay

    def reset(self) -> None:
        """Reset the nominal delay to ``first_s``."""
        self._current_s = self._first_s
