"""Applies what the store holds, configuration and registered upstreams, to this node."""

from collections.abc import Callable

import structlog
from result import Err

from ..fleet import DirectoryChange, FleetConfig, UpstreamDirectory, UpstreamEntry
from ..metrics import Metrics
from ..objects import FeedUpdate, StoredObject
from .wire import Wire

__all__ = ["RegistryView"]

log = structlog.get_logger()


class RegistryView:
    """Decodes updates of the store. ``on_config`` and ``on_change`` are told what is new."""

    def __init__(
        self,
        wire: Wire,
        directory: UpstreamDirectory,
        metrics: Metrics,
        clock: Callable[[], float],
        on_config: Callable[[FleetConfig], None],
        on_change: Callable[[list[DirectoryChange]], None],
    ) -> None:
        self.config: FleetConfig | None = None
        self._wire = wire
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._on_config = on_config
        self._on_change = on_change

    def take_config(self, update: FeedUpdate) -> None:
        """Take a configuration; an older version than the one in force is ignored."""
        for stored in update.written:
            if stored.key == self._wire.config_key:
                self._use_config(stored)

    def take_upstreams(self, update: FeedUpdate) -> None:
        """Take registry entries that were written or removed."""
        now = self._clock()
        if update.after_outage:
            self._directory.note_outage_end(now)
        changes: list[DirectoryChange] = []
        if update.complete:
            found = {self._instance(obj.key): self._decode(obj) for obj in update.written}
            changes = self._directory.replace(found, now)
        else:
            for key in update.removed:
                changes += self._directory.remove(self._instance(key), now)
            for stored in update.written:
                changes += self._directory.update(self._instance(stored.key), self._decode(stored))
        self._report(changes, update.version)

    def expire(self) -> None:
        """Drop upstreams whose registration did not come back after an outage."""
        changes = self._directory.expire(self._clock())
        if changes:
            self._report(changes, 0)

    def _use_config(self, stored: StoredObject) -> None:
        decoded = self._wire.decode_config(stored.value)
        if isinstance(decoded, Err):
            self._metrics.count("config_undecodable")
            log.error("configuration not used", step="decode_config", detail=str(decoded.err_value))
            return
        config = decoded.ok_value
        current = self.config.version if self.config else -1
        if config.version <= current:
            return
        self.config = config
        log.info(
            "configuration in force",
            step="apply_config",
            config_version=config.version,
            previous_version=current,
            store_version=stored.version,
            routes=len(config.routes),
        )
        self._on_config(config)

    def _decode(self, stored: StoredObject) -> UpstreamEntry | None:
        instance = self._instance(stored.key)
        decoded = self._wire.decode_entry(instance, stored.value)
        if isinstance(decoded, Err):
            self._metrics.count("entry_undecodable")
            log.warning(
                "registry entry not used", step="decode_entry", detail=str(decoded.err_value)
            )
            return None
        return decoded.ok_value

    def _instance(self, key: str) -> str:
        return key.removeprefix(self._wire.upstreams_prefix)

    def _report(self, changes: list[DirectoryChange], version: int) -> None:
        for change in changes:
            entry = change.after or change.before
            assert entry is not None
            log.info(
                "upstream changed",
                step="apply_registry",
                upstream=entry.instance,
                peer=entry.address,
                service=entry.service,
                state=change.after.state.value if change.after else "gone",
                restarted=change.restarted,
                at_hand=sorted(entry.on_disk | entry.in_host_memory),
                residents=sorted(entry.residents),
                directory_version=version,
            )
        if changes:
            self._on_change(changes)
