"""The interface through which every module reaches the object API."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from .errors import ObjectError

__all__ = ["Change", "ObjectStore", "Snapshot", "SnapshotStore", "StoredObject", "WatchResult"]


@dataclass(frozen=True)
class StoredObject:
    """An object as read. Versions come from one counter over the whole store and only grow."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Change:
    """One change that a watch reports. Some stores send the new value along."""

    key: str
    version: int
    deleted: bool
    value: bytes | None = None


@dataclass(frozen=True)
class Snapshot:
    """All objects under a prefix, and the version from which a watch reports later changes."""

    version: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class WatchResult:
    """Changes since a version, up to ``version``. Empty where the watch timed out."""

    version: int
    changes: tuple[Change, ...]


class ObjectStore(Protocol):
    """Conditional reads and writes of the platform's object API."""

    async def get(self, key: str) -> Result[StoredObject | None, ObjectError]:
        """Return the object, or None where there is none."""

    async def put(self, key: str, value: bytes, expected: int) -> Result[int, ObjectError]:
        """Write if the object's version is ``expected`` (0: it does not exist).

        Returns the new version. ``Unavailable.uncertain`` means the write may have taken effect;
        the caller reads back and looks for an id of its own in the value.
        """

    async def delete(self, key: str, expected: int) -> Result[None, ObjectError]:
        """Delete if the object's version is ``expected``."""

    async def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ObjectError]:
        """Return all objects whose key starts with ``prefix``, by key."""

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[WatchResult, ObjectError]:
        """Wait up to ``timeout_s`` for changes under ``prefix`` later than version ``after``."""


class SnapshotStore(ObjectStore, Protocol):
    """An object store that tells the version of a listing, so that a watch can go on from it."""

    async def snapshot(self, prefix: str) -> Result[Snapshot, ObjectError]:
        """Return all objects whose key starts with ``prefix``, with the store's version."""
