"""Backoff from upstreams that crashed, refused requests or stalled."""

from dataclasses import dataclass

__all__ = ["BackoffTracker", "StallBackoff"]

# Backoff after a crash in seconds. It ends early if the upstream is reported live.
CRASH_BACKOFF_S = 2.0
# Consecutive refusals without running a request that start a backoff. Further requests would only
# draw on the retry budget.
MAX_CONSECUTIVE_REFUSALS = 2
REFUSAL_BACKOFF_S = 0.25
# Backoff after the first stall in seconds. Each further stall doubles it up to the maximum.
INITIAL_STALL_BACKOFF_S = 5.0
MAX_STALL_BACKOFF_S = 40.0


@dataclass(frozen=True)
class StallBackoff:
    """Backoff of ``backoff_s`` seconds that ends at ``until``."""

    until: float
    backoff_s: float


class BackoffTracker:
    """Backoffs of upstreams. An upstream in backoff gets no new requests.

    A backoff after a crash or refusals ends when the upstream is reported live. A stalled upstream
    may still answer status requests, so a live report does not end its backoff. The first token
    of a request sent after the backoff resets the stall. ``revision`` increases with each change.

    >>> backoffs = BackoffTracker()
    >>> backoffs.record_stall("u1", now=0.0)
    StallBackoff(until=5.0, backoff_s=5.0)
    >>> backoffs.record_stall("u1", now=6.0)
    StallBackoff(until=16.0, backoff_s=10.0)
    """

    def __init__(self) -> None:
        self.revision = 0
        self._backoff_until: dict[str, float] = {}
        self._crashed_until: dict[str, float] = {}
        self._refusals: dict[str, int] = {}
        self._stalls: dict[str, StallBackoff] = {}

    def is_backing_off(self, upstream: str, now: float) -> bool:
        """Return whether an upstream is in backoff."""
        stall = self._stalls.get(upstream)
        if stall is not None and now < stall.until:
            return True
        return now < self._backoff_until.get(upstream, now)

    def is_crashed(self, upstream: str, now: float) -> bool:
        """Return whether an upstream is in backoff after a crash."""
        return now < self._crashed_until.get(upstream, now)

    def record_crash(self, upstream: str, now: float) -> None:
        """Start the backoff of an upstream that crashed."""
        self._crashed_until[upstream] = now + CRASH_BACKOFF_S
        self._extend_backoff(upstream, now + CRASH_BACKOFF_S)

    def record_refusal(self, upstream: str, now: float) -> None:
        """Record a request that the upstream refused without running it."""
        self._refusals[upstream] = self._refusals.get(upstream, 0) + 1
        if self._refusals[upstream] >= MAX_CONSECUTIVE_REFUSALS:
            self._extend_backoff(upstream, now + REFUSAL_BACKOFF_S)

    def record_stall(self, upstream: str, now: float) -> StallBackoff | None:
        """Start the backoff of a stalled upstream and return it.

        Return None if the upstream is already in backoff after a stall.
        """
        previous = self._stalls.get(upstream)
        if previous is not None and now < previous.until:
            return None
        backoff_s = (
            min(MAX_STALL_BACKOFF_S, 2 * previous.backoff_s)
            if previous
            else INITIAL_STALL_BACKOFF_S
        )
        self._stalls[upstream] = StallBackoff(now + backoff_s, backoff_s)
        self.revision += 1
        return self._stalls[upstream]

    def record_live(self, upstream: str) -> None:
        """End the backoff after a crash or refusals of an upstream reported live."""
        self._crashed_until.pop(upstream, None)
        if self._backoff_until.pop(upstream, None) is not None:
            self.revision += 1

    def record_progress(self, upstream: str, sent_at: float) -> None:
        """Record the first token of a request that was sent at ``sent_at``."""
        self._refusals.pop(upstream, None)
        stall = self._stalls.get(upstream)
        if stall is not None and sent_at >= stall.until:
            del self._stalls[upstream]

    def _extend_backoff(self, upstream: str, until: float) -> None:
        self._backoff_until[upstream] = max(self._backoff_until.get(upstream, 0.0), until)
        self.revision += 1
