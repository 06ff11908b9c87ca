"""The platform's host list, which lags."""

from dataclasses import asdict, dataclass
from typing import Any

__all__ = ["Host", "HostList"]

# Older states than this are dropped; a longer lag shows the oldest state kept.
KEEP_S = 600.0


@dataclass(frozen=True)
class Host:
    """One entry of the host list. ``state`` is ``live`` or ``leaving``."""

    id: str
    address: str = ""
    kind: str = ""
    domain: str = ""
    state: str = "live"

    def to_json(self) -> dict[str, Any]:
        """Return the entry of ``GET /hosts``."""
        return asdict(self)


class HostList:
    """Answers with the list as it was some seconds ago.

    >>> hosts = HostList()
    >>> hosts.put(Host("n1"), 10.0)
    >>> [host.id for host in hosts.read(10.5)], [host.id for host in hosts.read(9.0)]
    (['n1'], [])
    """

    def __init__(self) -> None:
        self._states: list[tuple[float, dict[str, Host]]] = [(float("-inf"), {})]

    def put(self, host: Host, now_s: float) -> None:
        """Register or change a host."""
        self._append({**self._states[-1][1], host.id: host}, now_s)

    def get(self, host_id: str) -> Host | None:
        """Return the present entry of a host."""
        return self._states[-1][1].get(host_id)

    def remove(self, host_id: str, now_s: float) -> None:
        """Remove a host; an unknown host changes nothing."""
        kept = {key: host for key, host in self._states[-1][1].items() if key != host_id}
        self._append(kept, now_s)

    def read(self, at_s: float) -> tuple[Host, ...]:
        """Return the list as it was at a time, by id."""
        shown = self._states[0][1]
        for since_s, hosts in self._states:
            if since_s > at_s:
                break
            shown = hosts
        return tuple(shown[key] for key in sorted(shown))

    def _append(self, hosts: dict[str, Host], now_s: float) -> None:
        while len(self._states) > 1 and self._states[1][0] < now_s - KEEP_S:
            self._states.pop(0)
        self._states.append((now_s, hosts))
