"""Versioned objects of the platform stand-in and their latest changes."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..objects import Change, StoredObject

__all__ = ["MAX_VALUE_BYTES", "ObjectTable", "VersionMismatch"]

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class VersionMismatch:
    """The error of a conditional write whose object has another version.

    ``actual`` is the version found, 0 if the object does not exist.
    """

    step: str
    peer: str
    actual: int


class ObjectTable:
    """A table of versioned objects with conditional writes and a change log.

    All versions come from one counter, which each write increments. The change log has only the
    latest change of each key, so that its size is bounded by the number of keys; a watcher that
    starts from an old version receives each changed key once.

    >>> table = ObjectTable()
    >>> table.put("a", b"1", 0), [c.key for c in table.changes("", 0)]
    (Ok(1), ['a'])
    """

    def __init__(self) -> None:
        self.version = 0
        self._objects: dict[str, StoredObject] = {}
        self._changes: dict[str, Change] = {}

    def get(self, key: str) -> StoredObject | None:
        """Return the object with a key, or None."""
        return self._objects.get(key)

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose key starts with ``prefix``, sorted by key."""
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return tuple(self._objects[key] for key in keys)

    def put(self, key: str, value: bytes, expected: int) -> Result[int, VersionMismatch]:
        """Write an object if its version is ``expected`` and return its new version.

        The version of an object that does not exist is 0.
        """
        actual = self._version_of(key)
        if actual != expected:
            return Err(VersionMismatch("put", key, actual))
        self._record_change(key, deleted=False)
        self._objects[key] = StoredObject(key, self.version, value)
        return Ok(self.version)

    def delete(self, key: str, expected: int) -> Result[int, VersionMismatch]:
        """Delete an object if its version is ``expected``; return the version of the deletion."""
        actual = self._version_of(key)
        if actual != expected or not actual:
            return Err(VersionMismatch("delete", key, actual))
        self._record_change(key, deleted=True)
        del self._objects[key]
        return Ok(self.version)

    def changes(self, prefix: str, after: int) -> tuple[Change, ...]:
        """Return the latest change of each key with ``prefix`` whose version exceeds ``after``."""
        newer = []
        for change in reversed(self._changes.values()):
            if change.version <= after:
                break
            if change.key.startswith(prefix):
                newer.append(change)
        return tuple(reversed(newer))

    def _version_of(self, key: str) -> int:
        stored = self._objects.get(key)
        return stored.version if stored else 0

    def _record_change(self, key: str, *, deleted: bool) -> None:
        self.version += 1
        self._changes.pop(key, None)
        self._changes[key] = Change(key, self.version, deleted)
