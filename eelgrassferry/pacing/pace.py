"""The pace of something that is limited to a rate, over all nodes together."""

__all__ = ["Pace"]


class Pace:
    """Earliest time of the next use of a limited resource.

    Each use moves that time on by what it costs at the limit's rate, in seconds. Time that was not
    used may be caught up on, ``burst_s`` seconds at most. A use is paid for afterwards, so uses of
    all sizes begin equally early; a part of it may be ``prepaid_s`` instead.

    >>> pace = Pace()
    >>> pace.spend(0.25, now=10.0, burst_s=0.0)
    >>> pace.next_at(now=10.0, burst_s=0.0)
    10.25
    """

    def __init__(self, next_at: float = float("-inf")) -> None:
        self._next_at = next_at

    def next_at(self, now: float, burst_s: float) -> float:
        """Return the earliest time of the next use in seconds, in the past if some is unused."""
        return max(self._next_at, now - burst_s)

    def start_at(self, now: float, burst_s: float, prepaid_s: float = 0.0) -> float:
        """Return when the next use may begin, in seconds."""
        return max(now, self.next_at(now, burst_s) + prepaid_s)

    def spend(self, cost_s: float, now: float, burst_s: float) -> None:
        """Record a use. A negative cost gives back a use that did not take place."""
        self._next_at = self.next_at(now, burst_s) + cost_s

    def delay(self, until: float) -> None:
        """Allow no use before a time, in seconds."""
        self._next_at = max(self._next_at, until)
