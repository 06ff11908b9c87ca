"""Keeps the configuration in force up to date from the object API and from peers."""

import asyncio
from collections.abc import Callable

import structlog
from result import Err, Ok

from ..metrics import Metrics
from ..objects import ObjectStore
from ..peers import ConfigExchange, Gossiper, PeerMesh
from ..peers import ConfigRecord as PeerRecord
from ..settings import ConfigHolder, ConfigRecord, config_key, decode_record, encode_record
from .upstream_watch import jitter

__all__ = ["ConfigSync"]

WATCH_TIMEOUT_S = 20.0
# Leaves room for one lost poll within the 8 s in which a change must be in force.
POLL_PERIOD_S = 3.0

log = structlog.get_logger()


class ConfigSync:
    """Takes newer revisions from wherever they come first and passes them on to peers.

    ``is_watcher`` tells whether this node watches the object API for its failure domain; the
    others poll. ``on_change`` is called after a newer record has come into force.
    """

    def __init__(
        self,
        site: str,
        holder: ConfigHolder,
        store: ObjectStore,
        mesh: PeerMesh,
        gossiper: Gossiper,
        metrics: Metrics,
        is_watcher: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._key = config_key(site)
        self._holder = holder
        self._store = store
        self._metrics = metrics
        self._is_watcher = is_watcher
        self._on_change = on_change
        self._exchange = ConfigExchange(mesh, gossiper, self._accept)

    def take(self, record: ConfigRecord) -> None:
        """Take a record that was read or written by this node."""
        self._exchange.put(PeerRecord(record.revision, encode_record(record)))

    async def pull(self) -> None:
        """Take the newest record of the linked peers."""
        await self._exchange.pull_newest()

    async def run(self) -> None:
        """Watch or poll the object API until cancelled."""
        version = 0
        while True:
            await self._read()
            if self._is_watcher():
                watched = await self._store.watch(self._key, version, WATCH_TIMEOUT_S)
                if isinstance(watched, Ok):
                    version = watched.ok_value.version
                    continue
            await asyncio.sleep(jitter(POLL_PERIOD_S))

    async def close(self) -> None:
        """Stop a pull in progress."""
        await self._exchange.close()

    async def _read(self) -> None:
        match await self._store.get(self._key):
            case Err(error):
                self._metrics.count("config.read_failed")
                log.debug("configuration not read", step="get", peer=error.peer)
            case Ok(None):
                pass
            case Ok(held):
                match decode_record(held.value):
                    case Ok(record):
                        self.take(record)
                    case Err(detail):
                        self._metrics.count("config.malformed")
                        log.error("malformed configuration", step="decode", detail=detail)

    def _accept(self, offered: PeerRecord) -> bool:
        """Check a newer record and put it in force."""
        decoded = decode_record(offered.payload)
        if isinstance(decoded, Err) or decoded.ok_value.revision != offered.revision:
            self._metrics.count("config.malformed")
            log.error("malformed configuration", step="decode", revision=offered.revision)
            return False
        taken = self._holder.apply_if_newer(decoded.ok_value)
        if isinstance(taken, Err):
            self._metrics.count("config.invalid")
            log.error("invalid configuration", step="offer", errors=str(taken.err_value)[:2000])
            return False
        self._metrics.count("config.changed")
        log.info("configuration in force", step="offer", revision=offered.revision)
        self._on_change()
        return True
