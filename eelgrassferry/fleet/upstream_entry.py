"""An upstream's entry in the service registry."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ..routing import UpstreamState

__all__ = ["UpstreamEntry", "instance_of"]


def instance_of(process_id: str) -> str:
    """Return the id of the upstream to which a process id belongs.

    >>> instance_of("i-7f3a91c2/1777565862348")
    'i-7f3a91c2'
    """
    return process_id.rpartition("/")[0]


@dataclass(frozen=True)
class UpstreamEntry:
    """The registered state of one upstream.

    ``instance`` is its id and ``started_ms`` the start time of its process in milliseconds. An
    upstream may restart under the same ``instance``; ``started_ms`` then differs. ``slots`` is the
    number of requests that run at the same time. ``residents`` maps each resident model to its
    resident adapters. ``leaving_in_s`` is the time until an upstream that leaves at short notice is
    gone, or None. Models ``on_disk`` or ``in_host_memory`` load faster than from the weight store.
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

    @cached_property
    def process_id(self) -> str:
        """Id of the current process of the upstream."""
        return f"{self.instance}/{self.started_ms}"

    def is_same_process(self, other: "UpstreamEntry") -> bool:
        """Return whether two entries of one instance belong to the same process."""
        return (self.started_ms, self.address) == (other.started_ms, other.address)
