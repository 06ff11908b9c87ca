"""Interfaces and value types of object stores."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from .errors import ObjectError

__all__ = ["Change", "ObjectStore", "Snapshot", "SnapshotStore", "StoredObject", "WatchResult"]


@dataclass(frozen=True)
class StoredObject:
    """An object and its version.

    Versions come from one counter for the whole store and only increase; see ``make_version`` for
    stores that may be restored from a copy.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Change:
    """A change reported by a watch. ``value`` is None if the store does not report new values."""

    key: str
    version: int
    deleted: bool
    value: bytes | None = None


@dataclass(frozen=True)
class Snapshot:
    """All objects under a prefix, and the version after which a watch reports changes."""

    version: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class WatchResult:
    """The changes after a given version up to ``version``; none if the watch timed out."""

    version: int
    changes: tuple[Change, ...]


class ObjectStore(Protocol):
    """Reads, conditional writes and watches of the platform's object API.

    ``era`` is the latest era that the store has named, 0 if it has named none, and ``was_restored``
    is whether it has named an earlier one before.
    """

    @property
    def era(self) -> int: ...

    @property
    def was_restored(self) -> bool: ...

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None if it does not exist."""

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write the object if its version is ``expected`` (0: the object does not exist).

        Returns the new version. With ``Unavailable.uncertain`` the write may have taken effect;
        the caller reads the object back and looks for its own write id in the value.
        """

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete the object if its version is ``expected``."""

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, sorted by key."""

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` after version ``after``."""


class SnapshotStore(ObjectStore, Protocol):
    """An object store whose listings have a version from which a watch can continue."""

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects whose key starts with ``prefix`` and the store's version."""
