"""Upstreams that accept requests and make no progress."""

from dataclasses import dataclass

__all__ = ["Stall", "StallBook"]

# The pause after the first stall; each further one doubles it up to the limit.
STALL_PAUSE_S = 5.0
MAX_STALL_PAUSE_S = 40.0


@dataclass(frozen=True)
class Stall:
    """An upstream gets no new work before ``until``, after a pause of ``pause_s`` seconds."""

    until: float
    pause_s: float


class StallBook:
    """The pauses of stalled upstreams.

    A stalled upstream may still answer its status, so a report that it is live proves nothing; a
    first token of a request sent after the pause does.

    >>> book = StallBook()
    >>> book.note("u1", now=0.0)
    Stall(until=5.0, pause_s=5.0)
    >>> book.note("u1", now=6.0)
    Stall(until=16.0, pause_s=10.0)
    """

    def __init__(self) -> None:
        self._stalls: dict[str, Stall] = {}

    def note(self, upstream: str, now: float) -> Stall | None:
        """Pause an upstream; None where it is paused already."""
        last = self._stalls.get(upstream)
        if last is not None and now < last.until:
            return None
        pause_s = min(MAX_STALL_PAUSE_S, 2 * last.pause_s) if last else STALL_PAUSE_S
        self._stalls[upstream] = Stall(now + pause_s, pause_s)
        return self._stalls[upstream]

    def is_paused(self, upstream: str, now: float) -> bool:
        """Return whether an upstream gets no new work."""
        stall = self._stalls.get(upstream)
        return stall is not None and now < stall.until

    def note_progress(self, upstream: str, sent_at: float) -> None:
        """Take a first token; it ends the stall where its request was sent after the pause."""
        stall = self._stalls.get(upstream)
        if stall is not None and sent_at >= stall.until:
            del self._stalls[upstream]
