"""The objects of the platform stand-in with their versions and changes."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..objects import Change, StoredObject

__all__ = ["MAX_VALUE_BYTES", "Mismatch", "ObjectTable"]

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class Mismatch:
    """The object's version is not the expected one."""

    step: str
    peer: str
    found: int


class ObjectTable:
    """Versions from one counter, conditional writes, and the latest change of each key.

    Only the latest change of a key is kept, so the changes are bounded by the number of keys; a
    watcher that asks for an old version sees each changed key once.

    >>> table = ObjectTable()
    >>> table.put("a", b"1", 0), [c.key for c in table.changes("", 0)]
    (Ok(1), ['a'])
    """

    def __init__(self) -> None:
        self.version = 0
        self._objects: dict[str, StoredObject] = {}
        self._changes: dict[str, Change] = {}

    def get(self, key: str) -> StoredObject | None:
        """Return an object, or None where there is none."""
        return self._objects.get(key)

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose key starts with ``prefix``, by key."""
        found = sorted(key for key in self._objects if key.startswith(prefix))
        return tuple(self._objects[key] for key in found)

    def put(self, key: str, value: bytes, expected: int) -> Result[int, Mismatch]:
        """Write if the version is ``expected`` (0: it does not exist); return the new version."""
        found = self._version_of(key)
        if found != expected:
            return Err(Mismatch("put", key, found))
        self._note(key, deleted=False)
        self._objects[key] = StoredObject(key, self.version, value)
        return Ok(self.version)

    def delete(self, key: str, expected: int) -> Result[int, Mismatch]:
        """Delete if the object exists and its version is ``expected``."""
        found = self._version_of(key)
        if found != expected or not found:
            return Err(Mismatch("delete", key, found))
        self._note(key, deleted=True)
        del self._objects[key]
        return Ok(self.version)

    def changes(self, prefix: str, after: int) -> tuple[Change, ...]:
        """Return the latest change of each key under ``prefix`` later than ``after``."""
        later = []
        for change in reversed(self._changes.values()):
            if change.version <= after:
                break
            if change.key.startswith(prefix):
                later.append(change)
        return tuple(reversed(later))

    def _version_of(self, key: str) -> int:
        held = self._objects.get(key)
        return held.version if held else 0

    def _note(self, key: str, *, deleted: bool) -> None:
        self.version += 1
        self._changes.pop(key, None)
        self._changes[key] = Change(key, self.version, deleted)
