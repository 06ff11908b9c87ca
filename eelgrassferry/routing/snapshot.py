"""Snapshot of a router for the status page."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["RouterSnapshot", "UpstreamSnapshot"]


@dataclass(frozen=True)
class UpstreamSnapshot:
    """State of an upstream in the view of this node."""

    state: str
    own: int
    in_flight: float
    limit: float
    slowness: float
    residents: tuple[str, ...]


@dataclass(frozen=True)
class RouterSnapshot:
    """State of the queues, upstreams, crash suspects and retry budget of a router."""

    upstreams: Mapping[str, UpstreamSnapshot]
    urgent_waiting: Mapping[str, int]
    patient_waiting: Mapping[str, int]
    in_flight: int
    suspects: int
    confirmed_digests: int
    retries_granted: int
    retries_denied: int
