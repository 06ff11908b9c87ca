"""Chooses among the upstreams of plain services and bounds what each has in flight."""

import heapq
import itertools
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from result import Err, Ok, Result

__all__ = ["Granted", "PoolRefusal", "ServicePool", "Waiting"]

MAX_IN_FLIGHT = 16  # calls at one upstream from this node
MAX_WAITING = 512  # calls for one service
RETRY_DOWN_S = 1.0  # an upstream that refused a connection is tried again after this


@dataclass(frozen=True)
class Granted:
    """A waiting call may go to ``upstream``."""

    call_id: str
    upstream: str


@dataclass(frozen=True)
class Waiting:
    """The call waits for an upstream with room."""

    call_id: str


@dataclass(frozen=True)
class PoolRefusal:
    """The call is refused before it reached any upstream."""

    reason: str
    detail: str


@dataclass(frozen=True, order=True)
class _Entry:
    patient: bool
    arrived: int
    call_id: str


class ServicePool:
    """The queue and the upstreams of one service. No I/O.

    Urgent calls go first, in order of arrival. An upstream that is leaving or has just refused a
    connection gets no new call.

    >>> pool = ServicePool("booking", ("a1",))
    >>> pool.ask("r1", urgent=True, avoid=(), now=0.0)
    Ok(Granted(call_id='r1', upstream='a1'))
    """

    def __init__(self, name: str, upstreams: tuple[str, ...], home: Collection[str] = ()) -> None:
        self._name = name
        self._upstreams = upstreams
        self._home = frozenset(home)
        self._in_flight: Counter[str] = Counter()
        self._down_until: dict[str, float] = {}
        self._leaving: frozenset[str] = frozenset()
        self._queue: list[_Entry] = []
        self._waiting: dict[str, Collection[str]] = {}
        self._arrivals = itertools.count()

    def ask(
        self, call_id: str, *, urgent: bool, avoid: Collection[str], now: float
    ) -> Result[Granted | Waiting, PoolRefusal]:
        """Ask for an upstream outside ``avoid``, those that have refused this very call."""
        if not set(self._upstreams) - set(avoid) - self._leaving:
            return Err(PoolRefusal("no_upstream", f"no upstream of {self._name} is left to try"))
        if not self._waiting:
            upstream = self._pick(avoid, now)
            if upstream is not None:
                self._in_flight[upstream] += 1
                return Ok(Granted(call_id, upstream))
        if len(self._waiting) >= MAX_WAITING:
            return Err(PoolRefusal("queue_full", f"{MAX_WAITING} calls wait for {self._name}"))
        heapq.heappush(self._queue, _Entry(not urgent, next(self._arrivals), call_id))
        self._waiting[call_id] = avoid
        return Ok(Waiting(call_id))

    def leave(self, call_id: str) -> None:
        """Drop a call that no longer waits."""
        self._waiting.pop(call_id, None)

    def finish(self, upstream: str, now: float, *, refused: bool = False) -> None:
        """Note the end of a call; ``refused`` where the upstream took no connection."""
        self._in_flight[upstream] -= 1
        if refused:
            self._down_until[upstream] = now + RETRY_DOWN_S

    def set_leaving(self, leaving: Collection[str]) -> None:
        """Set the upstreams that get no new calls."""
        self._leaving = frozenset(leaving)

    def advance(self, now: float) -> tuple[Granted, ...]:
        """Return the waiting calls that can go now, urgent ones first."""
        granted, kept = [], []
        while self._queue:
            entry = heapq.heappop(self._queue)
            if entry.call_id not in self._waiting:
                continue
            upstream = self._pick(self._waiting[entry.call_id], now)
            if upstream is None:
                kept.append(entry)
                if self._pick((), now) is None:
                    break
                continue
            del self._waiting[entry.call_id]
            self._in_flight[upstream] += 1
            granted.append(Granted(entry.call_id, upstream))
        for entry in kept:
            heapq.heappush(self._queue, entry)
        return tuple(granted)

    def _pick(self, avoid: Collection[str], now: float) -> str | None:
        open_ones = [
            name
            for name in self._upstreams
            if name not in avoid
            and name not in self._leaving
            and self._in_flight[name] < MAX_IN_FLIGHT
            and self._down_until.get(name, 0.0) <= now
        ]
        return min(open_ones, key=self._rank, default=None)

    def _rank(self, upstream: str) -> tuple[int, bool, str]:
        return (self._in_flight[upstream], upstream not in self._home, upstream)
