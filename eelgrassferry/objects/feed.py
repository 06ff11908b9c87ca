"""Follows all objects under a prefix: lists them once and then watches for changes."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from .errors import HistoryGone, ObjectError
from .object_store import Change, Snapshot, SnapshotStore, StoredObject, WatchResult

__all__ = ["FeedUpdate", "ObjectFeed"]

log = structlog.get_logger()

# A watch is asked again after this time without a change, in seconds.
WATCH_S = 8.0
# Least time between the starts of two watches, in seconds: changes that come in quick succession
# are taken together, which saves calls of the store.
WATCH_PAUSE_S = 0.1
# Time between two tries while the store does not answer, in seconds.
RETRY_S = 0.25
# A gap between two answers of the store that is at least this long counts as an outage, in
# seconds. A watch that is cut off and asked again at once is none.
OUTAGE_S = 0.8


@dataclass(frozen=True)
class FeedUpdate:
    """Changes to apply in order. ``complete`` updates hold all objects, so others are gone.

    ``after_outage`` says that the store answers again after it did not for a while.
    """

    complete: bool
    version: int
    written: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    after_outage: bool = False


class ObjectFeed:
    """Keeps a copy of the objects under one prefix and tells ``on_update`` of each change.

    ``version`` only grows: an update that is older than the copy is dropped. Updates may also come
    from peers, while this process cannot reach the store.
    """

    def __init__(
        self,
        store: SnapshotStore,
        prefix: str,
        on_update: Callable[[FeedUpdate], None],
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.prefix = prefix
        self.version = 0
        self.objects: dict[str, StoredObject] = {}
        self.fresh_at = float("-inf")
        self._store = store
        self._on_update = on_update
        self._clock = clock
        self._sleep = sleep
        self._listed = False
        self._away_since: float | None = None
        self._failed = False

    @property
    def away_s(self) -> float:
        """For how long the store has not answered, in seconds; 0 while it does."""
        return 0.0 if self._away_since is None else self._clock() - self._away_since

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            began = self._clock()
            res = await (self._watch() if self._listed else self._list())
            if isinstance(res, Err):
                await self._take_error(res.err_value)
                continue
            pause_s = WATCH_PAUSE_S - (self._clock() - began)
            if pause_s > 0:
                await self._sleep(pause_s)

    def take_from_peer(self, version: int, objects: tuple[StoredObject, ...]) -> bool:
        """Take a peer's complete copy where it is newer; return whether it was."""
        if version <= self.version:
            return False
        self._replace(Snapshot(version, objects), after_outage=False)
        # The next contact with the store lists again, because this copy is not of its making.
        self._listed = False
        return True

    async def _list(self) -> Result[None, ObjectError]:
        res = await self._store.snapshot(self.prefix)
        if isinstance(res, Err):
            return res
        after_outage = self._note_answer()
        self._listed = True
        if res.ok_value.version >= self.version:
            self._replace(res.ok_value, after_outage)
        return Ok(None)

    async def _watch(self) -> Result[None, ObjectError]:
        res = await self._store.watch(self.prefix, self.version, WATCH_S)
        if isinstance(res, Err):
            return res
        self._apply(res.ok_value, self._note_answer())
        return Ok(None)

    def _note_answer(self) -> bool:
        """Note that the store answers; return whether that ends an outage."""
        now = self._clock()
        ended = self.away_s >= OUTAGE_S
        if self._failed:
            log.info(
                "store regained",
                step="watch_store",
                prefix=self.prefix,
                away_s=round(self.away_s, 3),
                version=self.version,
            )
        self._failed = False
        self._away_since = None
        self.fresh_at = now
        return ended

    async def _take_error(self, exc: ObjectError) -> None:
        if isinstance(exc, HistoryGone):
            log.info("history dropped, listing again", step="watch_store", prefix=self.prefix)
            self._listed = False
            return
        now = self._clock()
        if self._away_since is None:
            self._away_since = now
        if not self._failed:
            self._failed = True
            log.warning(
                "store lost",
                step=exc.step,
                prefix=self.prefix,
                reason=str(getattr(exc, "detail", type(exc).__name__)),
                version=self.version,
            )
        await self._sleep(RETRY_S)

    def _replace(self, snapshot: Snapshot, after_outage: bool) -> None:
        found = {obj.key: obj for obj in snapshot.objects}
        removed = tuple(key for key in self.objects if key not in found)
        self.objects = found
        self.version = snapshot.version
        self._on_update(FeedUpdate(True, snapshot.version, snapshot.objects, removed, after_outage))

    def _apply(self, watched: WatchResult, after_outage: bool) -> None:
        latest: dict[str, Change] = {change.key: change for change in watched.changes}
        written, removed = [], []
        for key, change in latest.items():
            if change.deleted or change.value is None:
                self.objects.pop(key, None)
                removed.append(key)
            else:
                stored = StoredObject(key, change.version, change.value)
                self.objects[key] = stored
                written.append(stored)
        self.version = max(self.version, watched.version)
        if written or removed or after_outage:
            self._on_update(
                FeedUpdate(False, self.version, tuple(written), tuple(removed), after_outage)
            )
