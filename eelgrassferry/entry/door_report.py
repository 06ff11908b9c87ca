"""Counters and log lines about clients that were turned away."""

from collections import Counter
from collections.abc import Callable

import structlog

from ..metrics import Metrics

__all__ = ["DoorReport"]

log = structlog.get_logger()

# Time between two log lines of one cause, in seconds. A crowd causes thousands of events a second.
LOG_INTERVAL_S = 5.0


class DoorReport:
    """Counts each event by its cause, and logs the first one of each interval."""

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._clock = clock
        self._logged_at: dict[str, float] = {}
        self._unlogged: Counter[str] = Counter()

    def record(self, counter: str, event: str, peer: str, detail: str) -> None:
        """Count an event under ``counter``; the log line has the number of events since the last
        one.
        """
        self._metrics.count(counter)
        self._unlogged[counter] += 1
        now = self._clock()
        if now - self._logged_at.get(counter, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at[counter] = now
        count = self._unlogged.pop(counter)
        log.warning(
            event, step="read_request", peer=peer, cause=counter, detail=detail, count=count
        )
