"""The object API in memory, for embedding and for tests of faults."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from .errors import Conflict, ObjectError, TooLarge, Unavailable
from .object_store import Change, Snapshot, StoredObject, WatchResult

__all__ = ["MAX_VALUE_BYTES", "MemoryObjectStore", "StoreFaults"]

MAX_VALUE_BYTES = 1_000_000
PEER = "memory"


@dataclass
class StoreFaults:
    """Switches of the store. ``lose_answers`` counts the next writes whose answer is lost."""

    down: bool = False
    lose_answers: int = 0


class MemoryObjectStore:
    """Implements ``ObjectStore`` in one process.

    >>> store = MemoryObjectStore()
    >>> asyncio.run(store.put("a", b"1", expected=0))
    Ok(1)
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.reads = 0
        self.writes = 0
        self._objects: dict[str, StoredObject] = {}
        self._changes: list[Change] = []
        self._version = 0
        self._changed = asyncio.Condition()

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None where there is none."""
        self.reads += 1
        if self.faults.down:
            return self._unavailable("get", uncertain=False)
        return Ok(self._objects.get(key))

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write if the object's version is ``expected`` (0: it does not exist)."""
        self.writes += 1
        if self.faults.down:
            return self._unavailable("put", uncertain=False)
        if len(value) > MAX_VALUE_BYTES:
            return Err(TooLarge("put", PEER, len(value)))
        if self._version_of(key) != expected:
            return Err(Conflict("put", PEER, key))
        self._version += 1
        self._objects[key] = StoredObject(key, self._version, value)
        await self._note(Change(key, self._version, deleted=False, value=value))
        if self._loses_answer():
            return self._unavailable("put", uncertain=True)
        return Ok(self._objects[key].version)

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete if the object's version is ``expected``."""
        self.writes += 1
        if self.faults.down:
            return self._unavailable("delete", uncertain=False)
        if key not in self._objects or self._version_of(key) != expected:
            return Err(Conflict("delete", PEER, key))
        self._version += 1
        del self._objects[key]
        await self._note(Change(key, self._version, deleted=True))
        if self._loses_answer():
            return self._unavailable("delete", uncertain=True)
        return Ok(None)

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, by key."""
        self.reads += 1
        if self.faults.down:
            return self._unavailable("list", uncertain=False)
        found = sorted(key for key in self._objects if key.startswith(prefix))
        return Ok(tuple(self._objects[key] for key in found))

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects whose key starts with ``prefix``, with the store's version."""
        return (await self.list(prefix)).map(lambda objects: Snapshot(self._version, objects))

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` later than ``after``."""
        self.reads += 1
        if self.faults.down:
            return self._unavailable("watch", uncertain=False)
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(lambda: self._since(prefix, after))
        except TimeoutError:
            pass
        return Ok(WatchResult(self._version, self._since(prefix, after)))

    def _since(self, prefix: str, after: int) -> tuple[Change, ...]:
        return tuple(c for c in self._changes if c.version > after and c.key.startswith(prefix))

    def _version_of(self, key: str) -> int:
        held = self._objects.get(key)
        return held.version if held else 0

    async def _note(self, change: Change) -> None:
        async with self._changed:
            self._changes.append(change)
            self._changed.notify_all()

    def _loses_answer(self) -> bool:
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    @staticmethod
    def _unavailable(step: str, *, uncertain: bool) -> Err[ObjectError]:
        return Err(Unavailable(step, PEER, "the store is down", uncertain))
