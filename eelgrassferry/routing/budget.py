"""Retry budget: a share of the successful requests plus a minimum rate."""

__all__ = ["RetryBudget"]

FLOOR_PER_S = 1.0
# Large enough to resume all streams of one upstream's full batch at once.
BURST = 32.0


class RetryBudget:
    """Token bucket that is refilled by successes and by time. Hedged requests draw on it too.

    Over any period, the number of retries is at most ``burst``, plus ``ratio`` times the successes,
    plus ``floor_per_s`` times the period in seconds. ``ratio`` and ``burst`` may be changed at any
    time.

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
        self._updated_at = now

    def record_success(self) -> None:
        """Add the share of one successful request."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Take one retry from the budget and return whether it was available."""
        earned = max(0.0, now - self._updated_at) * self._floor_per_s
        self._tokens = min(self.burst, self._tokens + earned)
        self._updated_at = max(self._updated_at, now)
        # Tolerance for rounding: 100 successes at a ratio of 0.1 sum to slightly less than 10.
        if self._tokens < 1.0 - 1e-9:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.granted += 1
        return True
