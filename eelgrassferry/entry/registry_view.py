"""This node's view of the objects in the store: the configuration and registered upstreams."""

from collections.abc import Callable

import structlog
from result import Err

from ..fleet import (
    DirectoryChange,
    FleetConfig,
    RestoredEntries,
    UpstreamDirectory,
    UpstreamEntry,
)
from ..metrics import Metrics
from ..objects import FeedUpdate, StoredObject
from .platform_protocol import PlatformProtocol

__all__ = ["RegistryView"]

log = structlog.get_logger()


class RegistryView:
    """Decodes updates of the store and applies them to the configuration and upstream directory.

    ``on_config`` is called with each new configuration, ``on_change`` with the changes of the
    directory.
    """

    def __init__(
        self,
        protocol: PlatformProtocol,
        directory: UpstreamDirectory,
        metrics: Metrics,
        clock: Callable[[], float],
        on_config: Callable[[FleetConfig], None],
        on_change: Callable[[list[DirectoryChange]], None],
    ) -> None:
        self.config: FleetConfig | None = None
        self._protocol = protocol
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._on_config = on_config
        self._on_change = on_change
        self._restored = RestoredEntries()

    def apply_config_update(self, update: FeedUpdate) -> None:
        """Apply a configuration that is newer than the one in force; ignore older versions."""
        for stored in update.written:
            if self.is_config(stored):
                self._apply_config(stored)

    def is_config(self, stored: StoredObject) -> bool:
        """Return whether an object under the prefix is the configuration."""
        return stored.key == self._protocol.config_key

    def is_usable_entry(self, stored: StoredObject) -> bool:
        """Return whether an object is a registry entry that can be decoded."""
        return self._protocol.decode_entry(self._instance_of(stored.key), stored.value).is_ok()

    def apply_upstreams_update(self, update: FeedUpdate) -> None:
        """Apply registry entries that were written or removed."""
        now = self._clock()
        missing_before = set(self._directory.missing)
        if update.outage_ended_s_ago is not None:
            self._directory.record_outage(now - update.outage_ended_s_ago)
        entries = self._usable_entries(update, now)
        changes: list[DirectoryChange] = []
        if update.complete:
            changes = self._directory.replace(entries, now)
        else:
            for key in update.removed:
                changes += self._directory.remove(self._instance_of(key), now)
            for instance, entry in entries.items():
                changes += self._directory.update(instance, entry)
        for instance in set(self._directory.missing) - missing_before:
            log.info(
                "missing registration kept",
                step="apply_registry",
                upstream=instance,
                directory_version=update.version,
            )
        self._publish_changes(changes, update.version)

    def expire(self) -> None:
        """Remove upstreams whose registration was not renewed after an outage of the store.

        Restored registrations that were withheld long enough are used.
        """
        now = self._clock()
        changes = self._directory.expire(now)
        for entry in self._restored.pop_due(now):
            changes += self._directory.update(entry.instance, entry)
        if changes:
            self._publish_changes(changes, 0)

    def _usable_entries(self, update: FeedUpdate, now: float) -> dict[str, UpstreamEntry | None]:
        """Return the written entries without those of ended processes that a restore brought back.

        An entry that cannot be decoded is None.
        """
        for key in update.removed:
            self._restored.discard(self._instance_of(key))
        entries: dict[str, UpstreamEntry | None] = {}
        for stored in update.written:
            instance = self._instance_of(stored.key)
            if self._restored.is_withheld(instance, stored.version):
                continue
            self._restored.discard(instance)
            entry = self._decode_entry(stored)
            if entry is not None and update.after_restore and self._has_ended(entry):
                self._restored.withhold(entry, stored.version, now)
                log.info("restored entry withheld", step="apply_registry", upstream=instance)
            else:
                entries[instance] = entry
        return entries

    def _has_ended(self, entry: UpstreamEntry) -> bool:
        """Return whether the process of an entry has ended, and no other one has its instance."""
        is_registered = self._directory.get(entry.instance) is not None
        return not is_registered and self._restored.has_ended(entry.process_id)

    def _apply_config(self, stored: StoredObject) -> None:
        decoded = self._protocol.decode_config(stored.value)
        if isinstance(decoded, Err):
            self._metrics.count("config_undecodable")
            log.error("configuration not used", step="decode_config", detail=str(decoded.err_value))
            return
        config = decoded.ok_value
        current_version = self.config.version if self.config else -1
        if config.version <= current_version:
            return
        self.config = config
        log.info(
            "configuration in force",
            step="apply_config",
            config_version=config.version,
            previous_version=current_version,
            store_version=stored.version,
            routes=len(config.routes),
        )
        self._on_config(config)

    def _decode_entry(self, stored: StoredObject) -> UpstreamEntry | None:
        instance = self._instance_of(stored.key)
        decoded = self._protocol.decode_entry(instance, stored.value)
        if isinstance(decoded, Err):
            self._metrics.count("entry_undecodable")
            log.warning(
                "registry entry not used", step="decode_entry", detail=str(decoded.err_value)
            )
            return None
        return decoded.ok_value

    def _instance_of(self, key: str) -> str:
        return key.removeprefix(self._protocol.upstreams_prefix)

    def _publish_changes(self, changes: list[DirectoryChange], version: int) -> None:
        for change in changes:
            entry = change.after or change.before
            assert entry is not None
            if change.before is not None and (change.after is None or change.restarted):
                self._restored.record_ended(change.before.process_id)
            if change.after is not None:
                self._restored.record_alive(change.after.process_id)
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
