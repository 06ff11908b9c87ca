"""Selection of upstreams for plain services, with a limit on the calls in flight at each."""

import heapq
import itertools
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from result import Err, Ok, Result

__all__ = ["Granted", "PoolRefusal", "ServicePool", "Waiting"]

MAX_IN_FLIGHT = 16  # calls from this node at one upstream
MAX_WAITING = 512  # queued calls for one service
RETRY_AFTER_REFUSAL_S = 1.0  # an upstream that refused a connection is tried again after this


@dataclass(frozen=True)
class Granted:
    """The call may be sent to ``upstream``."""

    call_id: str
    upstream: str


@dataclass(frozen=True)
class Waiting:
    """The call is queued until an upstream has a free slot."""

    call_id: str


@dataclass(frozen=True)
class PoolRefusal:
    """The call is refused by the pool, without being sent to an upstream."""

    reason: str
    detail: str


@dataclass(frozen=True, order=True)
class _QueuedCall:
    patient: bool
    arrived: int
    call_id: str


class ServicePool:
    """The queue and the upstreams of one service. It performs no I/O.

    Urgent calls are granted before patient ones, each class in order of arrival. The upstream with
    the fewest calls in flight is preferred, then one in ``local_upstreams``. An upstream that is
    leaving or has just refused a connection gets no new call.

    >>> pool = ServicePool("booking", ("a1",))
    >>> pool.admit("r1", urgent=True, excluded=(), now=0.0)
    Ok(Granted(call_id='r1', upstream='a1'))
    """

    def __init__(
        self, name: str, upstreams: tuple[str, ...], local_upstreams: Collection[str] = ()
    ) -> None:
        self._name = name
        self._upstreams = upstreams
        self._local_upstreams = frozenset(local_upstreams)
        self._in_flight: Counter[str] = Counter()
        self._down_until: dict[str, float] = {}
        self._leaving: frozenset[str] = frozenset()
        self._queue: list[_QueuedCall] = []
        self._waiting: dict[str, Collection[str]] = {}
        self._arrivals = itertools.count()

    def admit(
        self, call_id: str, *, urgent: bool, excluded: Collection[str], now: float
    ) -> Result[Granted | Waiting, PoolRefusal]:
        """Grant the call an upstream outside ``excluded``, or queue it.

        ``excluded`` names the upstreams that have already failed this call. The call is refused if
        no other upstream is left or the queue is full.
        """
        if not set(self._upstreams) - set(excluded) - self._leaving:
            return Err(PoolRefusal("no_upstream", f"no upstream of {self._name} is left to try"))
        if not self._waiting:
            upstream = self._pick(excluded, now)
            if upstream is not None:
                self._in_flight[upstream] += 1
                return Ok(Granted(call_id, upstream))
        if len(self._waiting) >= MAX_WAITING:
            return Err(PoolRefusal("queue_full", f"{MAX_WAITING} calls wait for {self._name}"))
        heapq.heappush(self._queue, _QueuedCall(not urgent, next(self._arrivals), call_id))
        self._waiting[call_id] = excluded
        return Ok(Waiting(call_id))

    def cancel(self, call_id: str) -> None:
        """Remove a call from the queue."""
        self._waiting.pop(call_id, None)

    def finish(self, upstream: str, now: float, *, refused: bool = False) -> None:
        """Record the end of a call; ``refused`` if the upstream refused the connection."""
        self._in_flight[upstream] -= 1
        if refused:
            self._down_until[upstream] = now + RETRY_AFTER_REFUSAL_S

    def set_leaving(self, leaving: Collection[str]) -> None:
        """Set the upstreams that get no new calls."""
        self._leaving = frozenset(leaving)

    def grant_waiting(self, now: float) -> tuple[Granted, ...]:
        """Grant queued calls the free slots and return the grants, urgent calls first."""
        granted, blocked = [], []
        while self._queue:
            entry = heapq.heappop(self._queue)
            if entry.call_id not in self._waiting:
                continue
            upstream = self._pick(self._waiting[entry.call_id], now)
            if upstream is None:
                blocked.append(entry)
                if self._pick((), now) is None:
                    break
                continue
            del self._waiting[entry.call_id]
            self._in_flight[upstream] += 1
            granted.append(Granted(entry.call_id, upstream))
        for entry in blocked:
            heapq.heappush(self._queue, entry)
        return tuple(granted)

    def _pick(self, excluded: Collection[str], now: float) -> str | None:
        available = [
            name
            for name in self._upstreams
            if name not in excluded
            and name not in self._leaving
            and self._in_flight[name] < MAX_IN_FLIGHT
            and self._down_until.get(name, 0.0) <= now
        ]
        return min(available, key=self._sort_key, default=None)

    def _sort_key(self, upstream: str) -> tuple[int, bool, str]:
        return (self._in_flight[upstream], upstream not in self._local_upstreams, upstream)
