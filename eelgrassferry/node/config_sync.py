"""Synchronization of the configuration with the object API and peers."""

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
# A change must be in force within 8 s, also if one poll fails.
POLL_PERIOD_S = 3.0

log = structlog.get_logger()


class ConfigSync:
    """Applies newer revisions from the object API or peers and forwards them to peers.

    ``is_watcher`` returns whether this node watches the object API for its failure domain; the
    other nodes poll it. ``on_change`` is called after a newer record has come into force.
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
        self._exchange = ConfigExchange(mesh, gossiper, self._apply_offer)

    def put(self, record: ConfigRecord) -> None:
        """Apply a record that this node read or wrote, if it is newer, and offer it to peers."""
        self._exchange.put(PeerRecord(record.revision, encode_record(record)))

    async def pull(self) -> None:
        """Apply the newest record of the connected peers."""
        await self._exchange.pull_newest()

    async def run(self) -> None:
        """Watch or poll the object API until cancelled."""
        version = 0
        while True:
            await self._read_store()
            if self._is_watcher():
                watched = await self._store.watch(self._key, version, WATCH_TIMEOUT_S)
                if isinstance(watched, Ok):
                    version = watched.ok_value.version
                    continue
            await asyncio.sleep(jitter(POLL_PERIOD_S))

    async def close(self) -> None:
        """Cancel a pull in progress."""
        await self._exchange.close()

    async def _read_store(self) -> None:
        match await self._store.get(self._key):
            case Err(error):
                self._metrics.count("config.read_failed")
                log.debug("configuration not read", step="get", peer=error.peer)
            case Ok(None):
                pass
            case Ok(stored):
                match decode_record(stored.value):
                    case Ok(record):
                        self.put(record)
                    case Err(detail):
                        self._metrics.count("config.malformed")
                        log.error("malformed configuration", step="decode", detail=detail)

    def _apply_offer(self, offered: PeerRecord) -> bool:
        """Validate a newer record and put it in force; return whether it was accepted."""
        decoded = decode_record(offered.payload)
        if isinstance(decoded, Err) or decoded.ok_value.revision != offered.revision:
            self._metrics.count("config.malformed")
            log.error("malformed configuration", step="decode", revision=offered.revision)
            return False
        applied = self._holder.apply_if_newer(decoded.ok_value)
        if isinstance(applied, Err):
            self._metrics.count("config.invalid")
            log.error("invalid configuration", step="offer", errors=str(applied.err_value)[:2000])
            return False
        self._metrics.count("config.changed")
        log.info("configuration in force", step="offer", revision=offered.revision)
        self._on_change()
        return True
