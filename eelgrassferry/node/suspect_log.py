"""Keeps crash suspects in the object API, so that they outlive the nodes that saw the crash."""

import json
import time
from collections.abc import Callable

import structlog
from result import Err, Ok

from ..metrics import Metrics
from ..objects import Conflict, ObjectStore, StoredObject

__all__ = ["SuspectLog"]

PREFIX = "suspects/"
RETENTION_S = 86_400.0
MAX_TRIES = 5

log = structlog.get_logger()


class SuspectLog:
    """Reads and writes the objects ``suspects/<digest>``. Crashes are rare, so calls are too."""

    def __init__(self, store: ObjectStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    async def write(self, digest: str, incidents: tuple[str, ...], cleared: bool) -> None:
        """Add crashes to a digest's object, or delete it once the digest has completed."""
        for _ in range(MAX_TRIES):
            read = await self._store.get(PREFIX + digest)
            if isinstance(read, Err):
                break
            held = read.ok_value
            if cleared:
                done = await self._store.delete(held.key, held.version) if held else Ok(None)
            else:
                known = set(decode_incidents(held.value)) if held else set()
                if known >= set(incidents):
                    return
                value = encode_incidents(known | set(incidents))
                done = await self._store.put(
                    PREFIX + digest, value, expected=held.version if held else 0
                )
            if isinstance(done, Ok):
                return
            if not isinstance(done.err_value, Conflict):
                break
        # Peers still have it by message; only a loss of all nodes would lose it.
        self._metrics.count("suspects.not_stored")
        log.warning("suspect not stored", step="write_suspect", peer="object API", digest=digest)

    async def read_all(self, learn: Callable[[str, tuple[str, ...]], None]) -> bool:
        """Hand every stored suspect to ``learn``; False where the object API does not answer."""
        listed = await self._store.list(PREFIX)
        if isinstance(listed, Err):
            return False
        for held in listed.ok_value:
            if not await self._drop_expired(held):
                learn(held.key.removeprefix(PREFIX), decode_incidents(held.value))
        return True

    async def _drop_expired(self, held: StoredObject) -> bool:
        at = json.loads(held.value).get("at", 0.0)
        if time.time() - at <= RETENTION_S:
            return False
        await self._store.delete(held.key, held.version)
        return True


def encode_incidents(incidents: set[str]) -> bytes:
    """Return the object's value. The wall clock serves retention only."""
    return json.dumps({"incidents": sorted(incidents), "at": time.time()}).encode()


def decode_incidents(value: bytes) -> tuple[str, ...]:
    """Return the crashes in an object's value."""
    return tuple(str(item) for item in json.loads(value)["incidents"])
