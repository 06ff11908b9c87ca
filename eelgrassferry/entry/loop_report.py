"""Metric and log lines about delays of the event loop."""

from collections.abc import Callable

import structlog

from ..eventloop import WorkQueue
from ..logs import RepeatCounter, to_whole_ms
from ..metrics import Metrics

__all__ = ["LoopReport"]

log = structlog.get_logger()

# Delay of a timer above which it is logged, in seconds: a caller notices half of it.
LOGGED_DELAY_S = 0.2


class LoopReport:
    """Records by how much a periodic timer is late, and what the event loop did meanwhile.

    A delay above ``LOGGED_DELAY_S`` is logged with the time that received bytes took by kind of
    connection, and with the peer of the longest such work.
    """

    def __init__(self, metrics: Metrics, work: WorkQueue, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._work = work
        self._repeats = RepeatCounter(clock)

    def record(self, delay_s: float) -> None:
        """Record that the timer was late by ``delay_s`` seconds."""
        self._metrics.observe("loop_delay_seconds", max(0.0, delay_s))
        if delay_s > LOGGED_DELAY_S and (count := self._repeats.add("delay")):
            self._log(delay_s, count)
        self._work.meter.reset()
        for kind, count in self._work.deferred.items():
            self._metrics.count(f"work_deferred.{kind}", count)
        self._work.deferred.clear()

    def _log(self, delay_s: float, count: int) -> None:
        meter = self._work.meter
        log.warning(
            "event loop delayed",
            step="tick",
            delay_ms=to_whole_ms(delay_s),
            count=count,
            received_ms={kind: to_whole_ms(spent) for kind, spent in meter.spent_s.items()},
            longest_ms=to_whole_ms(meter.longest_s),
            longest_kind=meter.longest.kind if meter.longest else "",
            peer=meter.longest.peer() if meter.longest else "",
            waiting=len(self._work),
        )
