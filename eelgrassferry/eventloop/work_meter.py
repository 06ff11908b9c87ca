"""Time that received bytes take of the event loop, by the kind of their connection."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

__all__ = ["WorkMeter", "WorkSource"]


class WorkSource(Protocol):
    """A connection whose received bytes cause work."""

    kind: str
    peer: Callable[[], str]


class WorkMeter:
    """The time in seconds that was spent on received bytes since the last ``reset``.

    ``spent_s`` has the time by kind of connection. ``longest_s`` is the longest work without a
    pause, and ``longest`` its connection, or None.
    """

    def __init__(self) -> None:
        self.spent_s: Counter[str] = Counter()
        self.longest_s = 0.0
        self.longest: WorkSource | None = None

    def add(self, source: WorkSource, duration_s: float) -> None:
        """Add the time of work on a connection."""
        self.spent_s[source.kind] += duration_s
        if duration_s > self.longest_s:
            self.longest_s, self.longest = duration_s, source

    def reset(self) -> None:
        """Start to measure anew."""
        self.spent_s.clear()
        self.longest_s, self.longest = 0.0, None
