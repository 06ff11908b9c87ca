"""Upstreams that get no new work for a while."""

from dataclasses import dataclass

__all__ = ["PauseBook", "Stall"]

# A crashed upstream gets nothing for this long, unless it is reported live before.
CRASH_PAUSE_S = 2.0
# An upstream that refused this many requests in a row without running them gets nothing for a
# moment; new requests would only draw on the retry budget.
REFUSALS_IN_A_ROW = 2
REFUSAL_PAUSE_S = 0.25
# The pause after the first stall; each further one doubles it up to the limit.
STALL_PAUSE_S = 5.0
MAX_STALL_PAUSE_S = 40.0


@dataclass(frozen=True)
class Stall:
    """An upstream gets no new work before ``until``, after a pause of ``pause_s`` seconds."""

    until: float
    pause_s: float


class PauseBook:
    """The pauses of upstreams that crashed, refused or stalled. ``changes`` counts the changes.

    A pause after a crash or refusals ends when the upstream is reported live. A stalled upstream
    may still answer its status, so such a report proves nothing about it; a first token of a
    request sent after the pause does.

    >>> pauses = PauseBook()
    >>> pauses.note_stall("u1", now=0.0)
    Stall(until=5.0, pause_s=5.0)
    >>> pauses.note_stall("u1", now=6.0)
    Stall(until=16.0, pause_s=10.0)
    """

    def __init__(self) -> None:
        self.changes = 0
        self._until: dict[str, float] = {}
        self._crashed_until: dict[str, float] = {}
        self._refusals: dict[str, int] = {}
        self._stalls: dict[str, Stall] = {}

    def is_paused(self, upstream: str, now: float) -> bool:
        """Return whether an upstream gets no new work."""
        stall = self._stalls.get(upstream)
        if stall is not None and now < stall.until:
            return True
        return now < self._until.get(upstream, now)

    def is_crashed(self, upstream: str, now: float) -> bool:
        """Return whether an upstream is paused because it crashed."""
        return now < self._crashed_until.get(upstream, now)

    def note_crash(self, upstream: str, now: float) -> None:
        """Pause an upstream that crashed."""
        self._crashed_until[upstream] = now + CRASH_PAUSE_S
        self._pause(upstream, now + CRASH_PAUSE_S)

    def note_refused(self, upstream: str, now: float) -> None:
        """Count a request that the upstream did not run."""
        self._refusals[upstream] = self._refusals.get(upstream, 0) + 1
        if self._refusals[upstream] >= REFUSALS_IN_A_ROW:
            self._pause(upstream, now + REFUSAL_PAUSE_S)

    def note_stall(self, upstream: str, now: float) -> Stall | None:
        """Pause an upstream that made no progress; None where a stall pauses it already."""
        last = self._stalls.get(upstream)
        if last is not None and now < last.until:
            return None
        pause_s = min(MAX_STALL_PAUSE_S, 2 * last.pause_s) if last else STALL_PAUSE_S
        self._stalls[upstream] = Stall(now + pause_s, pause_s)
        self.changes += 1
        return self._stalls[upstream]

    def note_live(self, upstream: str) -> None:
        """Take a report that the upstream is live."""
        self._crashed_until.pop(upstream, None)
        if self._until.pop(upstream, None) is not None:
            self.changes += 1

    def note_progress(self, upstream: str, sent_at: float) -> None:
        """Take a first token of a request sent at ``sent_at``."""
        self._refusals.pop(upstream, None)
        stall = self._stalls.get(upstream)
        if stall is not None and sent_at >= stall.until:
            del self._stalls[upstream]

    def _pause(self, upstream: str, until: float) -> None:
        self._until[upstream] = max(self._until.get(upstream, 0.0), until)
        self.changes += 1
