"""Local copy of all objects under a prefix, kept current by a listing and then watches."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import structlog
from result import Err, Ok, Result

from .errors import HistoryGone, ObjectError
from .monitored_store import OUTAGE_S, MonitoredStore
from .object_store import Change, Snapshot, StoredObject, WatchResult
from .store_version import era_of, revision_of

__all__ = ["FeedUpdate", "ObjectFeed"]

log = structlog.get_logger()

# Timeout of one watch call in seconds. An unresponsive store is detected only when a watch is
# overdue, and changes have to take effect within 2 s.
WATCH_TIMEOUT_S = 2.0
# Minimum time between the starts of two watches in seconds: changes in quick succession are
# fetched together, which saves calls to the store. The interval doubles up to the long one while
# every watch returns within it, because 70 servers write 60 times a second.
MIN_WATCH_INTERVAL_S = 0.05
LONG_WATCH_INTERVAL_S = 0.2
# While a peer relays changes or is expected to, time between checks for its end, in seconds.
RELAY_CHECK_INTERVAL_S = 0.1
# Time between two attempts while the store does not respond, in seconds.
RETRY_DELAY_S = 0.25
# Objects larger than this are checked before they are kept, in bytes.
LARGE_OBJECT_BYTES = 64 * 1024
# Upper limits in seconds of the watch interval and the retry delay when ``interval_factor``
# increases them, because a change has to take effect within 2 s.
MAX_WATCH_INTERVAL_S = 1.0
MAX_RETRY_DELAY_S = 1.5


@dataclass(frozen=True)
class FeedUpdate:
    """Changes between version ``base`` and ``version``.

    A ``complete`` update contains all objects under the prefix; any other object has been
    removed. In the first update after an outage of the store, ``outage_ended_s_ago`` is the time
    since its end in seconds; otherwise it is None. The first update of a later era of the store
    is complete, and is one after an outage: some objects that are missing will be written again.
    """

    complete: bool
    version: int
    written: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    outage_ended_s_ago: float | None = None
    base: int = 0

    @property
    def after_outage(self) -> bool:
        """Whether this is the first update after an outage of the store."""
        return self.outage_ended_s_ago is not None

    @property
    def after_restore(self) -> bool:
        """Whether the store was restored from a copy between the two versions."""
        return self.base > 0 and era_of(self.base) != era_of(self.version)


class ObjectFeed:
    """A copy of the objects under one prefix that calls ``on_update`` on every change.

    ``version`` never decreases: an update that is older than the copy is ignored. A listing of a
    later era replaces the copy, because the store was restored meanwhile. Updates may also come
    from peers. While ``is_relayed`` returns True, a peer relays all changes and the
    store is not polled; a process that cannot reach the store may use a peer's copy.
    ``is_relay_expected`` returns whether a peer will probably relay changes soon; until then, the
    store is not watched, nor listed if the feed is ``deferrable``.

    A large object for which ``is_usable`` returns False is kept with an empty value, because all
    copies together have to fit in memory and into a frame.

    ``on_version_update`` is called for every update that is applied, including those without
    changes. ``interval_factor`` returns the factor, at least 1, by which the intervals between
    calls to the store are lengthened.
    """

    def __init__(
        self,
        store: MonitoredStore,
        prefix: str,
        on_update: Callable[[FeedUpdate], None],
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        deferrable: bool = False,
    ) -> None:
        self.is_relayed: Callable[[], bool] = lambda: False
        self.is_relay_expected: Callable[[], bool] = lambda: False
        self.is_usable: Callable[[StoredObject], bool] = lambda _stored: True
        self.on_version_update: Callable[[FeedUpdate], None] = lambda _update: None
        self.interval_factor: Callable[[], float] = lambda: 1.0
        self.prefix = prefix
        self.version = 0
        self.objects: dict[str, StoredObject] = {}
        self.up_to_date_at = float("-inf")
        self._outage_ended_at: float | None = None
        self._store = store
        self._on_update = on_update
        self._clock = clock
        self._sleep = sleep
        self._deferrable = deferrable
        self._is_listed = False
        self._unavailable_since: float | None = None
        self._loss_logged = False
        self._watch_interval_s = MIN_WATCH_INTERVAL_S

    @property
    def unavailable_s(self) -> float:
        """The time since the store stopped responding, in seconds; 0 while it responds."""
        return 0.0 if self._unavailable_since is None else self._clock() - self._unavailable_since

    async def run(self) -> None:
        """Keep the copy current until cancelled."""
        while True:
            if self.is_relayed():
                self._unavailable_since, self._loss_logged = None, False
                await self._sleep(RELAY_CHECK_INTERVAL_S)
                continue
            if (self.version or self._deferrable) and self.is_relay_expected():
                await self._sleep(RELAY_CHECK_INTERVAL_S)
                continue
            started_at = self._clock()
            res = await (self._watch() if self._is_listed else self._list())
            if isinstance(res, Err):
                await self._on_error(res.err_value)
                continue
            elapsed_s = self._clock() - started_at
            interval_s = min(MAX_WATCH_INTERVAL_S, self._watch_interval_s * self.interval_factor())
            if elapsed_s < interval_s:
                self._watch_interval_s = min(LONG_WATCH_INTERVAL_S, 2.0 * self._watch_interval_s)
                await self._sleep(interval_s - elapsed_s)
            else:
                self._watch_interval_s = MIN_WATCH_INTERVAL_S

    @property
    def age_s(self) -> float:
        """The time since the copy was last up to date, in seconds; infinite at first."""
        return self._clock() - self.up_to_date_at

    @property
    def outage_ended_s_ago(self) -> float | None:
        """The time since the end of the last known outage in seconds, None without one."""
        ended_at = self._outage_ended_at
        return None if ended_at is None else self._clock() - ended_at

    def apply_peer_copy(
        self,
        version: int,
        objects: tuple[StoredObject, ...],
        age_s: float,
        outage_ended_s_ago: float | None = None,
    ) -> bool:
        """Replace the copy by a peer's complete copy; return False if that is not newer.

        ``age_s`` is the time in seconds since the peer's copy was last up to date, and
        ``outage_ended_s_ago`` since the last outage that the peer knows.
        """
        if version < self.version:
            return False
        ended_s_ago = self._missed_outage(outage_ended_s_ago)
        self.up_to_date_at = max(self.up_to_date_at, self._clock() - age_s)
        if version == self.version:
            return False
        self._replace(Snapshot(version, objects), ended_s_ago)
        # The next call to the store is a listing, because this copy does not come from it.
        self._is_listed = False
        return True

    def apply_relayed_update(self, update: FeedUpdate, age_s: float = 0.0) -> bool:
        """Apply changes relayed by a peer; return False if earlier changes are missing.

        ``age_s`` is the time in seconds since the peer's copy was last up to date.
        """
        if update.base > self.version:
            return False
        ended_s_ago = self._missed_outage(update.outage_ended_s_ago)
        self.up_to_date_at = max(self.up_to_date_at, self._clock() - age_s)
        if update.version > self.version:
            self._merge(replace(update, outage_ended_s_ago=ended_s_ago))
        return True

    def _missed_outage(self, ended_s_ago: float | None) -> float | None:
        """Return how long ago an outage ended that a peer knows, None if this copy disproves it.

        A copy that was up to date meanwhile shows that the store worked, and only the peer did not
        reach it.
        """
        if ended_s_ago is None:
            return None
        ended_at = self._clock() - ended_s_ago
        if ended_at - self.up_to_date_at < OUTAGE_S:
            return None
        self._record_outage(ended_at)
        return ended_s_ago

    def _record_outage(self, ended_at: float) -> None:
        if self._outage_ended_at is None or ended_at > self._outage_ended_at:
            self._outage_ended_at = ended_at

    async def _list(self) -> Result[None, ObjectError]:
        res = await self._store.snapshot(self.prefix)
        if isinstance(res, Err):
            return res
        outage_ended_s_ago = self._record_response()
        self._is_listed = True
        if res.ok_value.version >= self.version:
            self._replace(res.ok_value, outage_ended_s_ago)
        return Ok(None)

    async def _watch(self) -> Result[None, ObjectError]:
        res = await self._store.watch(self.prefix, self.version, WATCH_TIMEOUT_S)
        if isinstance(res, Err):
            return res
        self._apply(res.ok_value, self._record_response())
        return Ok(None)

    def _record_response(self) -> float | None:
        """Record that the store responds.

        Return how long ago an outage ended since the copy was last up to date, None without one.
        """
        now = self._clock()
        ended_at = self._store.outage_end_since(self.up_to_date_at)
        if self._loss_logged:
            log.info(
                "store regained",
                step="watch_store",
                prefix=self.prefix,
                away_s=round(self.unavailable_s, 3),
                version=self.version,
            )
        self._loss_logged = False
        self._unavailable_since = None
        self.up_to_date_at = now
        if ended_at is None:
            return None
        self._record_outage(ended_at)
        return now - ended_at

    async def _on_error(self, exc: ObjectError) -> None:
        if isinstance(exc, HistoryGone):
            log.info("history dropped, listing again", step="watch_store", prefix=self.prefix)
            self._is_listed = False
            return
        now = self._clock()
        if self._unavailable_since is None:
            self._unavailable_since = now
        if not self._loss_logged:
            self._loss_logged = True
            log.warning(
                "store lost",
                step=exc.step,
                prefix=self.prefix,
                reason=str(getattr(exc, "detail", type(exc).__name__)),
                version=self.version,
            )
        await self._sleep(min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * self.interval_factor()))

    def _replace(self, snapshot: Snapshot, outage_ended_s_ago: float | None) -> None:
        listed = tuple(map(self._reduce, snapshot.objects))
        objects = {obj.key: obj for obj in listed}
        removed = tuple(key for key in self.objects if key not in objects)
        outage_ended_s_ago = self._after_restore(snapshot.version, outage_ended_s_ago)
        base, self.version = self.version, snapshot.version
        self.objects = objects
        update = FeedUpdate(True, snapshot.version, listed, removed, outage_ended_s_ago, base)
        self._on_update(update)
        self.on_version_update(update)

    def _apply(self, result: WatchResult, outage_ended_s_ago: float | None) -> None:
        if result.version < self.version:
            # A peer relayed newer changes while the watch was waiting.
            return
        latest: dict[str, Change] = {change.key: change for change in result.changes}
        written, removed = [], []
        for key, change in latest.items():
            if change.deleted or change.value is None:
                removed.append(key)
            else:
                written.append(StoredObject(key, change.version, change.value))
        self._merge(
            FeedUpdate(
                False,
                result.version,
                tuple(written),
                tuple(removed),
                outage_ended_s_ago,
                self.version,
            )
        )

    def _merge(self, update: FeedUpdate) -> None:
        """Apply changes, skipping those that the copy already contains."""
        update = replace(
            update,
            written=tuple(map(self._reduce, update.written)),
            outage_ended_s_ago=self._after_restore(update.version, update.outage_ended_s_ago),
            base=self.version,
        )
        written = tuple(
            stored
            for stored in update.written
            if stored.key not in self.objects or self.objects[stored.key].version < stored.version
        )
        for stored in written:
            self.objects[stored.key] = stored
        written_keys = {stored.key for stored in update.written}
        removed_keys = update.removed
        if update.complete:
            removed_keys = tuple(key for key in self.objects if key not in written_keys)
        removed = tuple(key for key in removed_keys if self.objects.pop(key, None) is not None)
        self.version = update.version
        if written or removed or update.after_outage:
            self._on_update(replace(update, complete=False, written=written, removed=removed))
        self.on_version_update(update)

    def _after_restore(self, version: int, outage_ended_s_ago: float | None) -> float | None:
        """Return how long ago an outage ended before a version, which may be of a later era.

        Objects that were written since the copy was made are written again within the time in which
        they are after an outage, even if the store was away too briefly for one.
        """
        if not self.version or era_of(version) == era_of(self.version):
            return outage_ended_s_ago
        log.warning(
            "store restored from a copy",
            step="apply_era",
            prefix=self.prefix,
            era=era_of(version),
            revision=revision_of(version),
            previous_era=era_of(self.version),
            previous_revision=revision_of(self.version),
        )
        self._record_outage(self._clock())
        return 0.0

    def _reduce(self, stored: StoredObject) -> StoredObject:
        """Return an object without its value if it is large and cannot be used."""
        if len(stored.value) <= LARGE_OBJECT_BYTES or self.is_usable(stored):
            return stored
        log.warning("value not kept", step="reduce", key=stored.key, bytes=len(stored.value))
        return replace(stored, value=b"")
