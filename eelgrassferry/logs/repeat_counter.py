"""Count of repeated events of which only some are logged."""

from collections import Counter
from collections.abc import Callable

__all__ = ["RepeatCounter"]

# Time between two log lines about one kind of event, in seconds. A crowd causes thousands of events
# a second.
LOG_INTERVAL_S = 5.0


class RepeatCounter:
    """Counts events by kind, of which one in ``LOG_INTERVAL_S`` seconds is to be logged.

    >>> repeats = RepeatCounter(lambda: 0.0)
    >>> repeats.add("delay"), repeats.add("delay")
    (1, 0)
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._logged_at: dict[str, float] = {}
        self._unlogged: Counter[str] = Counter()

    def add(self, kind: str) -> int:
        """Count an event and return how many to log in one line, 0 if none is due."""
        self._unlogged[kind] += 1
        now = self._clock()
        if now - self._logged_at.get(kind, float("-inf")) < LOG_INTERVAL_S:
            return 0
        self._logged_at[kind] = now
        return self._unlogged.pop(kind)
