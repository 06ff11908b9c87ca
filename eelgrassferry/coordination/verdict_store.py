"""Storage of the verdicts on content that crashes upstreams, so that they outlast all processes."""

import asyncio
import json
from collections.abc import Callable

import structlog
from result import Err

from ..dispatch import CrashAnalyzer
from ..documents import MALFORMED
from ..objects import MonitoredStore, StoredObject

__all__ = ["VerdictStore"]

log = structlog.get_logger()

KEY = "blocked/content"
# Interval at which the coordinator compares its verdicts with the stored ones, in seconds.
INTERVAL_S = 0.5


class VerdictStore:
    """Keeps the blocked content of the analyzer in one object, on the node that coordinates.

    The object is read at the beginning of each term and written when a verdict has changed. Other
    nodes learn the verdicts from the coordinator's views. ``is_coordinator`` returns whether this
    node coordinates. With ``restarted``, the object is also read at the start, because after a
    restart of all nodes callers' requests arrive before there is a coordinator.
    """

    def __init__(
        self,
        store: MonitoredStore,
        crashes: CrashAnalyzer,
        clock: Callable[[], float],
        is_coordinator: Callable[[], bool],
        restarted: bool,
    ) -> None:
        self._store = store
        self._crashes = crashes
        self._clock = clock
        self._is_coordinator = is_coordinator
        self._restarted = restarted
        self._version: int | None = None
        self._era = 0
        self._stored: frozenset[frozenset[str]] = frozenset()

    async def run(self) -> None:
        """Read and write the object while this node coordinates, until cancelled."""
        if self._restarted:
            await self._load()
        while True:
            if self._is_coordinator():
                await self.synchronize()
            else:
                self._version = None
            await asyncio.sleep(INTERVAL_S)

    async def synchronize(self) -> None:
        """Read the object unless its version is known, then write it if verdicts have changed.

        It is read again, and written if it lacks verdicts, once the store was restored.
        """
        if self._era != self._store.era:
            self._version = None
        if self._version is None and not await self._load():
            return
        blocked = self._crashes.blocked_content
        if blocked == self._stored:
            return
        value = json.dumps({"blocked": sorted(sorted(content) for content in blocked)}).encode()
        assert self._version is not None
        written = await self._store.put(KEY, value, self._version)
        if isinstance(written, Err):
            # The write may have been carried out, or another coordinator has written.
            log.warning("verdicts not stored", step="store_verdicts", detail=str(written.err_value))
            self._version = None
            return
        self._version, self._stored = written.ok_value, blocked
        log.info("verdicts stored", step="store_verdicts", count=len(blocked))

    async def _load(self) -> bool:
        """Add the stored verdicts to the analyzer and return whether the store was read."""
        read = await self._store.get(KEY)
        if isinstance(read, Err):
            return False
        self._version = read.ok_value.version if read.ok_value else 0
        self._era = self._store.era
        self._stored = _decode(read.ok_value)
        self._crashes.restore(self._stored, self._clock())
        return True


def _decode(stored: StoredObject | None) -> frozenset[frozenset[str]]:
    """Return the stored content; an object that cannot be read counts as empty."""
    if stored is None:
        return frozenset()
    try:
        lists = json.loads(stored.value)["blocked"]
        return frozenset(frozenset(map(str, names)) for names in lists if names)
    except MALFORMED as exc:
        log.warning("verdicts not used", step="load_verdicts", detail=repr(exc))
        return frozenset()
