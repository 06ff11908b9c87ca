"""Notes outages of an object store from the outcome of every call."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Result

from .errors import ObjectError, RateLimited, Unavailable
from .object_store import Snapshot, SnapshotStore, StoredObject, WatchResult

__all__ = ["MonitoredStore"]

# Failures over at least this time are an outage, in seconds. A watch that is cut off and asked
# again at once is none.
OUTAGE_S = 0.8

T = TypeVar("T")


class MonitoredStore:
    """Passes calls on to a store. A silent store shows in short calls long before it does in a
    watch, which may even be answered after the outage as if nothing had been.
    """

    def __init__(self, store: SnapshotStore, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._failing_since: float | None = None
        self._outage_ended = float("-inf")

    def had_outage_since(self, time: float) -> bool:
        """Return whether an outage lasts, or ended after ``time``."""
        since = self._failing_since
        if since is not None and self._clock() - since >= OUTAGE_S:
            return True
        return self._outage_ended > time

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None where there is none."""
        return await self._note(self._store.get(key))

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write if the object's version is ``expected`` (0: it does not exist)."""
        return await self._note(self._store.put(key, value, expected))

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete if the object's version is ``expected``."""
        return await self._note(self._store.delete(key, expected))

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, by key."""
        return await self._note(self._store.list(prefix))

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects whose key starts with ``prefix``, with the store's version."""
        return await self._note(self._store.snapshot(prefix))

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` later than ``after``."""
        return await self._note(self._store.watch(prefix, after, timeout_s))

    async def _note(self, call: Awaitable[Result[T, ObjectError]]) -> Result[T, ObjectError]:
        began = self._clock()
        res = await call
        if isinstance(res, Err) and isinstance(res.err_value, Unavailable | RateLimited):
            if self._failing_since is None:
                self._failing_since = began
            return res
        since, self._failing_since = self._failing_since, None
        if since is not None and self._clock() - since >= OUTAGE_S:
            self._outage_ended = self._clock()
        return res
