"""Registry entries of ended processes that a restored registry lists again."""

from .upstream_entry import UpstreamEntry

__all__ = ["RestoredEntries"]

# Time for which a restored entry of an ended process is not used, in seconds. The registry drops
# the entry of a process that does not renew it for three of its heartbeats.
WITHHOLD_S = 5.0
# Number of processes that are remembered as ended, which bounds the memory.
MAX_ENDED = 10_000


class RestoredEntries:
    """Entries that are withheld because their processes had ended before the registry was restored.

    A registry that comes back from a copy lists processes again whose entries were removed since
    the copy was made. Such an entry is withheld until it is written again, or for ``WITHHOLD_S``:
    the entry of a process that is still running may have lapsed just before.

    >>> restored = RestoredEntries()
    >>> restored.record_ended("u1/5")
    >>> restored.has_ended("u1/5")
    True
    """

    def __init__(self) -> None:
        # Ids of ended processes, oldest first.
        self._ended: dict[str, None] = {}
        # By instance, with the entry's version and the time until which it is withheld.
        self._withheld: dict[str, tuple[UpstreamEntry, int, float]] = {}

    def record_ended(self, process_id: str) -> None:
        """Record that the entry of a process is gone or was replaced."""
        self._ended.pop(process_id, None)
        self._ended[process_id] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def record_alive(self, process_id: str) -> None:
        """Record that a process is registered, possibly again."""
        self._ended.pop(process_id, None)

    def has_ended(self, process_id: str) -> bool:
        """Return whether the entry of a process is gone or was replaced."""
        return process_id in self._ended

    def withhold(self, entry: UpstreamEntry, version: int, now: float) -> None:
        """Withhold a restored entry, whose object has a version in the registry."""
        self._withheld[entry.instance] = (entry, version, now + WITHHOLD_S)

    def is_withheld(self, instance: str, version: int) -> bool:
        """Return whether the entry of an instance is withheld and has not been written since.

        Further listings contain the entry again, with the same version.
        """
        withheld = self._withheld.get(instance)
        return withheld is not None and version <= withheld[1]

    def discard(self, instance: str) -> None:
        """Drop a withheld entry, because it was removed or written again."""
        self._withheld.pop(instance, None)

    def pop_due(self, now: float) -> list[UpstreamEntry]:
        """Return the entries that are no longer withheld at ``now``."""
        due = [entry for entry, _, until in self._withheld.values() if now >= until]
        for entry in due:
            del self._withheld[entry.instance]
        return due
