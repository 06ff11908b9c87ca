"""Tracking of processes that send no more engine orders."""

from collections.abc import Iterable

from ..objects import Host

__all__ = ["WriterTracker"]


class WriterTracker:
    """Tracker of the processes that have written reservations and no longer send orders.

    Writers are identified by instance, ``<host id>:<nonce>``. A writer counts as stopped if

    - its host is missing from the host list,
    - it has acknowledged that it sends no more orders, as it does when it releases the lease, or
    - it is an earlier process of this host, because this process now owns its listening addresses.

    A host list that lacks this process's own host is ignored. Such a list either does not contain
    nodes or is too old.

    >>> writers = WriterTracker("n1:b")
    >>> writers.stopped_since("n1:a")
    -inf
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._host = host_of(instance)
        self._listed: frozenset[str] = frozenset()
        self._listed_s = 0.0
        self._stopped_s: dict[str, float] = {}

    def on_hosts(self, hosts: Iterable[Host], now: float) -> None:
        """Replace the host list of the platform."""
        self._listed = frozenset(host.id for host in hosts)
        self._listed_s = now

    def on_instances_retired(self, instances: Iterable[str], now: float) -> None:
        """Record writers that have acknowledged that they send no more orders."""
        for instance in instances:
            self._stopped_s.setdefault(instance, now)

    def stopped_since(self, writer: str) -> float | None:
        """Return the time since which a writer has been stopped, or None if it may be active."""
        if writer == self._instance:
            return None
        if host_of(writer) == self._host:
            return float("-inf")
        listed = self._listed
        if writer not in self._stopped_s and self._host in listed and host_of(writer) not in listed:
            self._stopped_s[writer] = self._listed_s
        return self._stopped_s.get(writer)


def host_of(instance: str) -> str:
    """Return the host id of an instance, ``<host id>:<nonce>``."""
    return instance.partition(":")[0]
