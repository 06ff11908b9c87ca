"""In-memory object store for embedded use and for tests with injected faults."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from .errors import Conflict, HistoryGone, ObjectError, TooLarge, Unavailable
from .object_store import Change, Snapshot, StoredObject, WatchResult
from .store_version import era_of, make_version, revision_of

__all__ = ["MAX_VALUE_BYTES", "MemoryObjectStore", "StoreCopy", "StoreFaults"]

MAX_VALUE_BYTES = 1_000_000
PEER = "memory"


@dataclass
class StoreFaults:
    """Faults to inject.

    ``down`` makes every call fail. ``lose_answers`` is the number of upcoming writes that take
    effect but whose response is lost.
    """

    down: bool = False
    lose_answers: int = 0


@dataclass(frozen=True)
class StoreCopy:
    """The content of a store at one revision."""

    revision: int
    objects: tuple[StoredObject, ...]


class MemoryObjectStore:
    """A ``SnapshotStore`` in the memory of one process.

    It may be restored to a copy of its content, which begins a new era.

    >>> store = MemoryObjectStore()
    >>> asyncio.run(store.put("a", b"1", expected=0))
    Ok(1)
    """

    def __init__(self) -> None:
        self.era = 0
        self.faults = StoreFaults()
        self.reads = 0
        self.writes = 0
        self._objects: dict[str, StoredObject] = {}
        self._changes: list[Change] = []
        self._version = 0
        self._changed = asyncio.Condition()

    @property
    def was_restored(self) -> bool:
        """Whether the store was restored to a copy."""
        return self.era > 0

    def make_copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(revision_of(self._version), tuple(self._objects.values()))

    async def restore(self, copy: StoreCopy) -> None:
        """Return to the content of a copy; what was written since is lost."""
        self.era += 1
        self._version = make_version(self.era, copy.revision)
        self._objects = {
            stored.key: StoredObject(
                stored.key, make_version(self.era, revision_of(stored.version)), stored.value
            )
            for stored in copy.objects
        }
        self._changes.clear()
        async with self._changed:
            self._changed.notify_all()

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None if it does not exist."""
        self.reads += 1
        if self.faults.down:
            return self._unavailable("get", uncertain=False)
        return Ok(self._objects.get(key))

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write the object if its version is ``expected`` (0: the object does not exist)."""
        self.writes += 1
        if self.faults.down:
            return self._unavailable("put", uncertain=False)
        if len(value) > MAX_VALUE_BYTES:
            return Err(TooLarge("put", PEER, len(value)))
        if self._version_of(key) != expected:
            return Err(Conflict("put", PEER, key))
        self._version += 1
        self._objects[key] = StoredObject(key, self._version, value)
        await self._record_change(Change(key, self._version, deleted=False, value=value))
        if self._drops_response():
            return self._unavailable("put", uncertain=True)
        return Ok(self._objects[key].version)

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete the object if its version is ``expected``."""
        self.writes += 1
        if self.faults.down:
            return self._unavailable("delete", uncertain=False)
        if key not in self._objects or self._version_of(key) != expected:
            return Err(Conflict("delete", PEER, key))
        self._version += 1
        del self._objects[key]
        await self._record_change(Change(key, self._version, deleted=True))
        if self._drops_response():
            return self._unavailable("delete", uncertain=True)
        return Ok(None)

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, sorted by key."""
        self.reads += 1
        if self.faults.down:
            return self._unavailable("list", uncertain=False)
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return Ok(tuple(self._objects[key] for key in keys))

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects whose key starts with ``prefix`` and the store's version."""
        return (await self.list(prefix)).map(lambda objects: Snapshot(self._version, objects))

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` after version ``after``."""
        self.reads += 1
        if self.faults.down:
            return self._unavailable("watch", uncertain=False)
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._changes_since(prefix, after) or era_of(after) != self.era
                )
        except TimeoutError:
            pass
        if era_of(after) != self.era:
            return Err(HistoryGone("watch", PEER, prefix))
        return Ok(WatchResult(self._version, self._changes_since(prefix, after)))

    def _changes_since(self, prefix: str, after: int) -> tuple[Change, ...]:
        return tuple(c for c in self._changes if c.version > after and c.key.startswith(prefix))

    def _version_of(self, key: str) -> int:
        stored = self._objects.get(key)
        return stored.version if stored else 0

    async def _record_change(self, change: Change) -> None:
        async with self._changed:
            self._changes.append(change)
            self._changed.notify_all()

    def _drops_response(self) -> bool:
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    @staticmethod
    def _unavailable(step: str, *, uncertain: bool) -> Err[ObjectError]:
        return Err(Unavailable(step, PEER, "the store is down", uncertain))
