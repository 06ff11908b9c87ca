"""Counters and log lines about clients that were turned away."""

from collections.abc import Callable

import structlog

from ..logs import RepeatCounter
from ..metrics import Metrics

__all__ = ["DoorReport"]

log = structlog.get_logger()


class DoorReport:
    """Counts each event by its cause, and logs the first one of each interval."""

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._repeats = RepeatCounter(clock)

    def record(self, counter: str, event: str, peer: str, detail: str) -> None:
        """Count an event under ``counter``; the log line has the number of events since the last
        one.
        """
        self._metrics.count(counter)
        if count := self._repeats.add(counter):
            log.warning(
                event, step="read_request", peer=peer, cause=counter, detail=detail, count=count
            )
