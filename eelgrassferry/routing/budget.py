"""The retry budget: a share of successes, with a floor."""

__all__ = ["RetryBudget"]

FLOOR_PER_S = 1.0
# Allows the streams of one upstream's full batch to be resumed at once.
BURST = 32.0


class RetryBudget:
    """A token bucket filled by successes and, slowly, by time. Hedged requests draw on it too.

    Over any span of time, the retries are at most ``burst``, plus ``ratio`` times the successes,
    plus ``floor_per_s`` times the span. ``ratio`` and ``burst`` may be changed at any time.

    >>> budget = RetryBudget(ratio=0.1, now=0.0)
    >>> sum(budget.take(0.0) for _ in range(100))
    32
    """

    def __init__(
        self,
        ratio: float,
        now: float = 0.0,
        burst: float = BURST,
        floor_per_s: float = FLOOR_PER_S,
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.granted = 0
        self.denied = 0
        self._floor_per_s = floor_per_s
        self._tokens = burst
        self._at = now

    def note_success(self) -> None:
        """Count one request that was served."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Draw one retry; return whether the budget allowed it."""
        earned = max(0.0, now - self._at) * self._floor_per_s
        self._tokens = min(self.burst, self._tokens + earned)
        self._at = max(self._at, now)
        # A hundred successes at a ratio of 0.1 sum to a little less than 10.
        if self._tokens < 1.0 - 1e-9:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.granted += 1
        return True
