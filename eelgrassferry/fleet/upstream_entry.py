"""What an upstream says of itself in the service registry."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..routing import UpstreamState

__all__ = ["UpstreamEntry"]


@dataclass(frozen=True)
class UpstreamEntry:
    """One upstream. ``instance`` names one incarnation, ``started_ms`` the start of its process.

    An upstream may start again under the same ``instance``; ``started_ms`` then differs.
    ``residents`` maps each model it holds to that model's adapters. ``leaving_in_s`` is the time
    until an upstream that leaves at short notice is gone, or None. Models ``on_disk`` or
    ``in_host_memory`` load faster than from the weight store.
    """

    instance: str
    service: str
    address: str
    domain: str
    slots: int
    state: UpstreamState
    started_ms: int
    leaving_in_s: float | None = None
    residents: Mapping[str, frozenset[str]] = field(default_factory=dict)
    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()

    def is_same_process(self, other: "UpstreamEntry") -> bool:
        """Whether two entries of one instance stand for the same start of the upstream."""
        return (self.started_ms, self.address) == (other.started_ms, other.address)
