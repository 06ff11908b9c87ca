"""A node's directory of the registered upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..routing import UpstreamState
from .upstream_entry import UpstreamEntry, instance_of

__all__ = ["DirectoryChange", "UpstreamDirectory"]

# Time in seconds for which missing entries are kept after an outage of the registry. Live upstreams
# renew a registration that expired during the outage within about 2 s of its end; the rest covers
# the delay of the watch.
OUTAGE_GRACE_S = 2.2
# Number of processes that are remembered as leaving, which bounds the memory.
MAX_LEAVING = 10_000


@dataclass(frozen=True)
class DirectoryChange:
    """A change of an upstream's entry.

    ``before`` is None for a new upstream, and ``after`` is None for a removed one.
    """

    before: UpstreamEntry | None
    after: UpstreamEntry | None

    @property
    def restarted(self) -> bool:
        """Whether the entry with the same instance id now belongs to another process."""
        before, after = self.before, self.after
        return before is not None and after is not None and not before.is_same_process(after)


class UpstreamDirectory:
    """The registered upstreams by instance id.

    A live entry that is missing after an outage of the registry is kept for ``OUTAGE_GRACE_S``,
    because its registration may have expired while the upstream is still running. Otherwise an
    entry is dropped as soon as it is missing.

    Stale copies of an entry may arrive late. An entry of an earlier process is therefore ignored,
    and an upstream that is leaving becomes live again only after a restart. That a process leaves
    is remembered also while it is not registered: its registration may lapse and come back.
    """

    def __init__(self) -> None:
        self._entries: dict[str, UpstreamEntry] = {}
        # Ids of the processes that leave, oldest first.
        self._leaving: dict[str, None] = {}
        self._missing_until: dict[str, float] = {}
        self._grace_ends_at = float("-inf")

    @property
    def missing(self) -> tuple[str, ...]:
        """The instances whose entries are missing and kept for the grace period."""
        return tuple(self._missing_until)

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, instance: str) -> UpstreamEntry | None:
        """Return the entry of an instance, or None."""
        return self._entries.get(instance)

    def of_service(self, service: str) -> list[UpstreamEntry]:
        """Return all upstreams of a service, whatever their state."""
        return [entry for entry in self._entries.values() if entry.service == service]

    def all(self) -> list[UpstreamEntry]:
        """Return all upstreams."""
        return list(self._entries.values())

    def record_outage(self, ended_at: float) -> None:
        """Record that an outage of the registry ended, after which entries may be missing."""
        self._grace_ends_at = max(self._grace_ends_at, ended_at + OUTAGE_GRACE_S)

    def replace(
        self, entries: Mapping[str, UpstreamEntry | None], now: float
    ) -> list[DirectoryChange]:
        """Replace all entries by those of the complete registry and return the changes.

        An entry that cannot be decoded is given as None and dropped.
        """
        changes = [self._put(instance, entry) for instance, entry in entries.items()]
        missing = [instance for instance in self._entries if instance not in entries]
        changes += [self._mark_missing(instance, now) for instance in missing]
        return [change for change in changes if change is not None]

    def update(self, instance: str, entry: UpstreamEntry | None) -> list[DirectoryChange]:
        """Apply one written entry and return the changes.

        An entry that cannot be decoded is given as None and dropped.
        """
        change = self._put(instance, entry)
        return [change] if change else []

    def remove(self, instance: str, now: float) -> list[DirectoryChange]:
        """Apply the removal of one entry and return the changes.

        There are none if the entry is kept for the grace period after an outage.
        """
        change = self._mark_missing(instance, now)
        return [change] if change else []

    def mark_leaving(self, process_id: str) -> list[DirectoryChange]:
        """Record that a process leaves and return the changes.

        There are none if the process is not registered, or as leaving already.
        """
        self._remember_leaving(process_id)
        before = self._entries.get(instance_of(process_id))
        if before is None or before.process_id != process_id:
            return []
        if before.state is not UpstreamState.LIVE:
            return []
        after = replace(before, state=UpstreamState.LEAVING)
        self._entries[before.instance] = after
        return [DirectoryChange(before, after)]

    def expire(self, now: float) -> list[DirectoryChange]:
        """Drop the missing entries whose grace period is over and return the changes."""
        expired = [instance for instance, until in self._missing_until.items() if now >= until]
        return [change for change in map(self._drop, expired) if change is not None]

    def _put(self, instance: str, entry: UpstreamEntry | None) -> DirectoryChange | None:
        before = self._entries.get(instance)
        if entry is None:
            return self._drop(instance)
        self._missing_until.pop(instance, None)
        if before is not None and before.started_ms > entry.started_ms:
            return None
        if entry.state is UpstreamState.LEAVING:
            self._remember_leaving(entry.process_id)
        elif entry.state is UpstreamState.LIVE and entry.process_id in self._leaving:
            entry = replace(entry, state=UpstreamState.LEAVING)
        if before == entry:
            return None
        self._entries[instance] = entry
        return DirectoryChange(before, entry)

    def _remember_leaving(self, process_id: str) -> None:
        self._leaving.pop(process_id, None)
        self._leaving[process_id] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def _mark_missing(self, instance: str, now: float) -> DirectoryChange | None:
        entry = self._entries.get(instance)
        if entry is None:
            return None
        if now < self._grace_ends_at and entry.state is UpstreamState.LIVE:
            self._missing_until.setdefault(instance, self._grace_ends_at)
            return None
        return self._drop(instance)

    def _drop(self, instance: str) -> DirectoryChange | None:
        self._missing_until.pop(instance, None)
        before = self._entries.pop(instance, None)
        return DirectoryChange(before, None) if before else None
