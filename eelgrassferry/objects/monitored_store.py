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

T = TypeVar("T")


class MonitoredStore:
    """A store that forwards all calls to another store and detects its outages.

    Short calls show that a store is unresponsive long before a watch does; a watch may even
    return normally after the outage.
    """

    def __init__(self, store: SnapshotStore, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._failing_since: float | None = None
        self._failed_at = float("-inf")
        self._outage_ended_at = float("-inf")

    def had_outage_since(self, time: float) -> bool:
        """Return whether an outage is ongoing or ended after ``time``."""
        since = self._failing_since
        if since is not None and self._clock() - since >= OUTAGE_S:
            return True
        return self._outage_ended_at > time

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
        return await self._record_outcome(self._store.watch(prefix, after, timeout_s))

    async def _record_outcome(
        self, call: Awaitable[Result[T, ObjectError]]
    ) -> Result[T, ObjectError]:
        started_at = self._clock()
        res = await call
        if isinstance(res, Err) and isinstance(res.err_value, Unavailable | RateLimited):
            if self._failing_since is None:
                self._failing_since = started_at
            self._failed_at = self._clock()
            return res
        since, self._failing_since = self._failing_since, None
        if since is not None and self._clock() - since >= OUTAGE_S:
            self._outage_ended_at = self._clock()
            log.info(
                "store outage ended",
                step="call_store",
                lasted_ms=to_whole_ms(self._clock() - since),
                last_failure_ms=to_whole_ms(self._clock() - self._failed_at),
            )
        return res
