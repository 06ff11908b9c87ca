"""Which other processes are known to send no engine order any more."""

from collections.abc import Iterable

from ..objects import Host

__all__ = ["Writers"]


class Writers:
    """Tracks writers of reservations by instance, ``<host id>:<nonce>``.

    A writer is gone once its host has left the host list, once it has acknowledged that it sends
    nothing more (a released lease does), or where it is an earlier process of this very host,
    whose listening addresses this process holds now. A host list without this process's own host
    says nothing about writers, because it does not list nodes or lags too far behind.

    >>> writers = Writers("n1:b")
    >>> writers.gone_since("n1:a")
    -inf
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._host = host_of(instance)
        self._listed: frozenset[str] = frozenset()
        self._listed_s = 0.0
        self._gone_s: dict[str, float] = {}

    def on_hosts(self, hosts: Iterable[Host], now: float) -> None:
        """Take the platform's host list."""
        self._listed = frozenset(host.id for host in hosts)
        self._listed_s = now

    def on_acknowledged(self, instances: Iterable[str], now: float) -> None:
        """Note writers that have promised to send nothing more."""
        for instance in instances:
            self._gone_s.setdefault(instance, now)

    def gone_since(self, writer: str) -> float | None:
        """Return the time since when a writer is known to be gone, or None."""
        if writer == self._instance:
            return None
        if host_of(writer) == self._host:
            return float("-inf")
        listed = self._listed
        if writer not in self._gone_s and self._host in listed and host_of(writer) not in listed:
            self._gone_s[writer] = self._listed_s
        return self._gone_s.get(writer)


def host_of(instance: str) -> str:
    """Return the host id of an instance."""
    return instance.partition(":")[0]
