"""Rate limit by a token bucket."""

__all__ = ["RateLimit"]

# Capacity of the bucket, in seconds at the full rate. With a quarter of a second, the mean rate
# over any two seconds exceeds the limit by at most an eighth.
BURST_S = 0.25


class RateLimit:
    """A token bucket that admits ``rate_per_s`` calls per second and bursts of a quarter of that.

    >>> limit = RateLimit(4.0)
    >>> limit.admit(0.0), limit.admit(0.0), limit.admit(0.25)
    (True, False, True)
    """

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = max(1.0, rate_per_s * BURST_S)
        self._tokens = self._capacity
        self._updated_at_s = 0.0

    def admit(self, now_s: float) -> bool:
        """Return whether a call at a time on a monotonic clock is within the rate, and count it."""
        refill = (now_s - self._updated_at_s) * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + refill)
        self._updated_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
