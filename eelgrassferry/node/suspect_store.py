"""Keeps crash suspects in the object API, so that they outlive the nodes that observed a crash."""

import json
import time
from collections.abc import Callable

import structlog
from result import Err, Ok

from ..metrics import Metrics
from ..objects import Conflict, ObjectStore, StoredObject

__all__ = ["SuspectStore"]

PREFIX = "suspects/"
RETENTION_S = 86_400.0
MAX_TRIES = 5

log = structlog.get_logger()


class SuspectStore:
    """Reads and writes the objects ``suspects/<digest>``, which list the crashes of a digest.

    Crashes are rare, so these calls add little load to the object API.
    """

    def __init__(self, store: ObjectStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    async def write(self, digest: str, incidents: tuple[str, ...], cleared: bool) -> None:
        """Add crashes to a digest's object, or delete the object if ``cleared``.

        A digest is cleared once a request with it has completed. A write conflict is retried up to
        ``MAX_TRIES`` times; other failures are logged and counted.
        """
        for _ in range(MAX_TRIES):
            read = await self._store.get(PREFIX + digest)
            if isinstance(read, Err):
                break
            stored = read.ok_value
            if cleared:
                done = await self._store.delete(stored.key, stored.version) if stored else Ok(None)
            else:
                known = set(decode_incidents(stored.value)) if stored else set()
                if known >= set(incidents):
                    return
                value = encode_incidents(known | set(incidents))
                done = await self._store.put(
                    PREFIX + digest, value, expected=stored.version if stored else 0
                )
            if isinstance(done, Ok):
                return
            if not isinstance(done.err_value, Conflict):
                break
        # Peers have received the suspect by message, so it is lost only if all nodes are lost.
        self._metrics.count("suspects.not_stored")
        log.warning("suspect not stored", step="write_suspect", peer="object API", digest=digest)

    async def read_all(self, on_suspect: Callable[[str, tuple[str, ...]], None]) -> bool:
        """Call ``on_suspect`` with the digest and the crashes of every stored suspect.

        Expired suspects are deleted. Return False if the object API does not answer.
        """
        listed = await self._store.list(PREFIX)
        if isinstance(listed, Err):
            return False
        for stored in listed.ok_value:
            if not await self._drop_expired(stored):
                on_suspect(stored.key.removeprefix(PREFIX), decode_incidents(stored.value))
        return True

    async def _drop_expired(self, stored: StoredObject) -> bool:
        at = json.loads(stored.value).get("at", 0.0)
        if time.time() - at <= RETENTION_S:
            return False
        await self._store.delete(stored.key, stored.version)
        return True


def encode_incidents(incidents: set[str]) -> bytes:
    """Return the object's value. The wall clock serves retention only."""
    return json.dumps({"incidents": sorted(incidents), "at": time.time()}).encode()


def decode_incidents(value: bytes) -> tuple[str, ...]:
    """Return the crashes in an object's value."""
    return tuple(str(item) for item in json.loads(value)["incidents"])
