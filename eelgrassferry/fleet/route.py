"""A route: which callers' requests go to which services, and under what promises."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Backend", "RequestKind", "Route"]


class RequestKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Backend:
    """One of the services that share a route, by weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Times are in seconds. ``priority`` 0 is the most urgent.

    ``max_attempts`` is the number of upstreams that one request may run on. ``gap_target_s`` is
    the longest pause between events of a stream for which the answer is on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    gap_target_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT
