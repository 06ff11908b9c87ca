"""Outage detection for an object store from the outcome of every call."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog
from result import Err, Result

from ..logs import to_whole_ms
from .errors import ObjectError, RateLimited, Unavailable
from .object_store import Snapshot, SnapshotStore, StoredObject, WatchResult

__all__ = ["MonitoredStore"]

log = structlog.get_logger()

# Minimum duration of an outage in seconds. A watch whose connection breaks and that is repeated
# immediately is not an outage.
OUTAGE_S = 0.8
# A failed call says nothing of the time after it once this process has made no call for so long,
# in seconds. It is longer than the longest delay of a retry.
MAX_GAP_S = 2.0

T = TypeVar("T")


class MonitoredStore:
    """A store that forwards all calls to another store and detects its outages.

    Short calls show that a store is unresponsive long before a watch does; a watch may even
    return normally after the outage. An outage is known only as far as calls show it: it begins
    when a failed call should have been answered, and ends with the next call that succeeds; the
    answer to one that began before the last failure, such as a watch, shows nothing of the time
    after it. If this process has made no calls in between, it ends with the last failed one.
    """

    def __init__(self, store: SnapshotStore, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._failing_since: float | None = None
        self._failed_at = float("-inf")
        self._outage_ended_at = float("-inf")

    @property
    def era(self) -> int:
        """The latest era that the store has named, 0 if it has named none."""
        return self._store.era

    @property
    def was_restored(self) -> bool:
        """Whether the store has named an earlier era before."""
        return self._store.was_restored

    def had_outage_since(self, time: float) -> bool:
        """Return whether an outage is ongoing or ended after ``time``."""
        return self.outage_end_since(time) is not None

    def outage_end_since(self, time: float) -> float | None:
        """Return when the last outage ended, if it was after ``time``, else None.

        An ongoing outage ends now at the earliest.
        """
        now, since = self._clock(), self._failing_since
        if since is not None and now - since >= OUTAGE_S and now - self._failed_at <= MAX_GAP_S:
            return now
        return self._outage_ended_at if self._outage_ended_at > time else None

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None if it does not exist."""
        return await self._record_outcome(self._store.get(key))

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write the object if its version is ``expected`` (0: the object does not exist)."""
        return await self._record_outcome(self._store.put(key, value, expected))

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete the object if its version is ``expected``."""
        return await self._record_outcome(self._store.delete(key, expected))

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, sorted by key."""
        return await self._record_outcome(self._store.list(prefix))

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects whose key starts with ``prefix`` and the store's version."""
        return await self._record_outcome(self._store.snapshot(prefix))

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` after version ``after``."""
        watch = self._store.watch(prefix, after, timeout_s)
        return await self._record_outcome(watch, timeout_s)

    async def _record_outcome(
        self, call: Awaitable[Result[T, ObjectError]], wait_s: float = 0.0
    ) -> Result[T, ObjectError]:
        """Return the result of a call, which the store may answer after ``wait_s`` seconds."""
        started_at = self._clock()
        res = await call
        now = self._clock()
        if isinstance(res, Err) and isinstance(res.err_value, Unavailable | RateLimited):
            if started_at - self._failed_at > MAX_GAP_S:
                self._end_outage(self._failed_at)
            if self._failing_since is None:
                self._failing_since = min(now, started_at + wait_s)
            self._failed_at = now
        elif started_at >= self._failed_at:
            self._end_outage(now if now - self._failed_at <= MAX_GAP_S else self._failed_at)
        return res

    def _end_outage(self, ended_at: float) -> None:
        """End a series of failed calls, if there is one; it is an outage if it was long enough."""
        if self._failing_since is None:
            return
        lasted_s, self._failing_since = ended_at - self._failing_since, None
        if lasted_s < OUTAGE_S:
            return
        self._outage_ended_at = ended_at
        log.info(
            "store outage ended",
            step="call_store",
            lasted_ms=to_whole_ms(lasted_s),
            ended_ms_ago=to_whole_ms(self._clock() - ended_at),
        )
