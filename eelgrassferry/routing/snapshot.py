"""What the status page shows of a router."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["RouterSnapshot", "UpstreamSnapshot"]


@dataclass(frozen=True)
class UpstreamSnapshot:
    """One upstream as this node sees it."""

    state: str
    own: int
    in_flight: float
    limit: float
    slowness: float
    residents: tuple[str, ...]


@dataclass(frozen=True)
class RouterSnapshot:
    """Queues, upstreams, crash suspects and the retry budget."""

    upstreams: Mapping[str, UpstreamSnapshot]
    urgent_waiting: Mapping[str, int]
    patient_waiting: Mapping[str, int]
    in_flight: int
    suspects: int
    confirmed_digests: int
    retries_granted: int
    retries_denied: int
