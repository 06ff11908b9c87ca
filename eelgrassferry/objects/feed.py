"""Follows all objects under a prefix: lists them once and then watches for changes."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from .errors import HistoryGone, ObjectError
from .monitored_store import MonitoredStore
from .object_store import Change, Snapshot, StoredObject, WatchResult

__all__ = ["FeedUpdate", "ObjectFeed"]

log = structlog.get_logger()

# A watch is asked again after this time without a change, in seconds. A silent store is noticed
# only when a watch is overdue, and changes are to be in force within 2 s.
WATCH_S = 2.0
# Least time between the starts of two watches, in seconds: changes that come in quick succession
# are taken together, which saves calls of the store. The pause doubles up to the second figure
# while each watch is answered within it: seventy servers write sixty times a second.
WATCH_PAUSE_S = 0.05
LONG_WATCH_PAUSE_S = 0.2
# While a peer passes changes on, the feed looks this often whether it still does, in seconds.
RELAY_CHECK_S = 0.05
# Time between two tries while the store does not answer, in seconds.
RETRY_S = 0.25
# Limits of both pauses where they are stretched, in seconds: a change is to be in force within 2 s.
MAX_WATCH_PAUSE_S = 1.0
MAX_RETRY_S = 1.5


@dataclass(frozen=True)
class FeedUpdate:
    """Changes since version ``base``. ``complete`` updates hold all objects, so others are gone.

    ``after_outage`` says that the store answers again after it did not for a while.
    """

    complete: bool
    version: int
    written: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    after_outage: bool = False
    base: int = 0


class ObjectFeed:
    """Keeps a copy of the objects under one prefix and tells ``on_update`` of each change.

    ``version`` only grows: an update that is older than the copy is dropped. Updates may also come
    from peers: while ``is_relayed`` says that one passes all changes on, the store is not asked,
    and while this process cannot reach the store, it takes a peer's copy. ``on_step`` is told of
    every step of the version, also without changes. ``stretch`` returns the factor by which
    it asks the store less often, 1 or more.
    """

    def __init__(
        self,
        store: MonitoredStore,
        prefix: str,
        on_update: Callable[[FeedUpdate], None],
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.is_relayed: Callable[[], bool] = lambda: False
        self.on_step: Callable[[FeedUpdate], None] = lambda _update: None
        self.stretch: Callable[[], float] = lambda: 1.0
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
        self._pause_s = WATCH_PAUSE_S

    @property
    def away_s(self) -> float:
        """For how long the store has not answered, in seconds; 0 while it does."""
        return 0.0 if self._away_since is None else self._clock() - self._away_since

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            if self.is_relayed():
                self._away_since, self._failed = None, False
                await self._sleep(RELAY_CHECK_S)
                continue
            began = self._clock()
            res = await (self._watch() if self._listed else self._list())
            if isinstance(res, Err):
                await self._take_error(res.err_value)
                continue
            took_s = self._clock() - began
            least_s = min(MAX_WATCH_PAUSE_S, self._pause_s * self.stretch())
            if took_s < least_s:
                self._pause_s = min(LONG_WATCH_PAUSE_S, 2.0 * self._pause_s)
                await self._sleep(least_s - took_s)
            else:
                self._pause_s = WATCH_PAUSE_S

    @property
    def age_s(self) -> float:
        """The time since the objects were known to be up to date, in seconds; infinite at first."""
        return self._clock() - self.fresh_at

    def take_from_peer(self, version: int, objects: tuple[StoredObject, ...], age_s: float) -> bool:
        """Take a peer's complete copy where it is newer; return whether it was. ``age_s`` is the
        time since the peer knew it to be up to date.
        """
        if version < self.version:
            return False
        self.fresh_at = max(self.fresh_at, self._clock() - age_s)
        if version == self.version:
            return False
        self._replace(Snapshot(version, objects), after_outage=False)
        # The next contact with the store lists again, because this copy is not of its making.
        self._listed = False
        return True

    def take_relayed(self, update: FeedUpdate, age_s: float = 0.0) -> bool:
        """Take changes that a peer passes on; return False where some before them are missing.
        ``age_s`` is the time since the peer knew them to be up to date.
        """
        if update.base > self.version:
            return False
        self.fresh_at = max(self.fresh_at, self._clock() - age_s)
        if update.version > self.version:
            self._merge(update)
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
        ended = self._store.had_outage_since(self.fresh_at)
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
        await self._sleep(min(MAX_RETRY_S, RETRY_S * self.stretch()))

    def _replace(self, snapshot: Snapshot, after_outage: bool) -> None:
        found = {obj.key: obj for obj in snapshot.objects}
        removed = tuple(key for key in self.objects if key not in found)
        base, self.version = self.version, snapshot.version
        self.objects = found
        update = FeedUpdate(True, snapshot.version, snapshot.objects, removed, after_outage, base)
        self._on_update(update)
        self.on_step(update)

    def _apply(self, watched: WatchResult, after_outage: bool) -> None:
        if watched.version < self.version:
            # A peer has passed on newer changes while the watch was waiting.
            return
        latest: dict[str, Change] = {change.key: change for change in watched.changes}
        written, removed = [], []
        for key, change in latest.items():
            if change.deleted or change.value is None:
                removed.append(key)
            else:
                written.append(StoredObject(key, change.version, change.value))
        self._merge(
            FeedUpdate(
                False,
                watched.version,
                tuple(written),
                tuple(removed),
                after_outage,
                self.version,
            )
        )

    def _merge(self, update: FeedUpdate) -> None:
        """Apply changes, some of which may be known already."""
        written = tuple(
            stored
            for stored in update.written
            if stored.key not in self.objects or self.objects[stored.key].version < stored.version
        )
        for stored in written:
            self.objects[stored.key] = stored
        kept = {stored.key for stored in update.written}
        missing = update.removed
        if update.complete:
            missing = tuple(key for key in self.objects if key not in kept)
        removed = tuple(key for key in missing if self.objects.pop(key, None) is not None)
        self.version = update.version
        if written or removed or update.after_outage:
            self._on_update(
                FeedUpdate(
                    False, update.version, written, removed, update.after_outage, update.base
                )
            )
        self.on_step(update)
