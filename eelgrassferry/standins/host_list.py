"""The host list of the platform stand-in, with its past versions."""

from dataclasses import asdict, dataclass
from typing import Any

__all__ = ["Host", "HostList"]

# Seconds for which past lists are stored. A longer lag returns the oldest stored list.
RETENTION_S = 600.0


@dataclass(frozen=True)
class Host:
    """An entry of the host list, whose ``state`` is ``live`` or ``leaving``."""

    id: str
    address: str = ""
    kind: str = ""
    domain: str = ""
    state: str = "live"

    def to_json(self) -> dict[str, Any]:
        """Return the entry as ``GET /hosts`` lists it."""
        return asdict(self)


class HostList:
    """A host list that can be read as of a past time, to simulate a delayed list.

    Times are in seconds on a monotonic clock.

    >>> hosts = HostList()
    >>> hosts.put(Host("n1"), 10.0)
    >>> [host.id for host in hosts.read(10.5)], [host.id for host in hosts.read(9.0)]
    (['n1'], [])
    """

    def __init__(self) -> None:
        self._snapshots: list[tuple[float, dict[str, Host]]] = [(float("-inf"), {})]

    def put(self, host: Host, now_s: float) -> None:
        """Add a host or replace its entry."""
        self._append({**self._snapshots[-1][1], host.id: host}, now_s)

    def get(self, host_id: str) -> Host | None:
        """Return the current entry of a host, or None."""
        return self._snapshots[-1][1].get(host_id)

    def remove(self, host_id: str, now_s: float) -> None:
        """Remove a host, if it is listed."""
        remaining = {key: host for key, host in self._snapshots[-1][1].items() if key != host_id}
        self._append(remaining, now_s)

    def read(self, at_s: float) -> tuple[Host, ...]:
        """Return the hosts that were listed at a time, sorted by id."""
        snapshot = self._snapshots[0][1]
        for since_s, hosts in self._snapshots:
            if since_s > at_s:
                break
            snapshot = hosts
        return tuple(snapshot[key] for key in sorted(snapshot))

    def _append(self, hosts: dict[str, Host], now_s: float) -> None:
        while len(self._snapshots) > 1 and self._snapshots[1][0] < now_s - RETENTION_S:
            self._snapshots.pop(0)
        self._snapshots.append((now_s, hosts))
