"""A token bucket."""

__all__ = ["RateLimit"]

# A quarter of a second of calls may arrive at once, so that the mean over any two seconds stays
# within an eighth of the rate.
BURST_S = 0.25


class RateLimit:
    """Admits ``rate_per_s`` calls a second and bursts of a quarter of that.

    >>> limit = RateLimit(4.0)
    >>> limit.admit(0.0), limit.admit(0.0), limit.admit(0.25)
    (True, False, True)
    """

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._size = max(1.0, rate_per_s * BURST_S)
        self._tokens = self._size
        self._at_s = 0.0

    def admit(self, now_s: float) -> bool:
        """Take one call at a time on a monotonic clock; False is over the rate."""
        gained = (now_s - self._at_s) * self._rate_per_s
        self._tokens = min(self._size, self._tokens + gained)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
