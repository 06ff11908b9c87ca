"""Routes, which map callers' requests to services."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Backend", "RequestKind", "Route"]


class RequestKind(Enum):
    """The kind of a route's requests, which determines whether they can be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Backend:
    """A service of a route, with its weight in the distribution of requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """A mapping of the requests of one host and path prefix to services.

    Times are in seconds. ``priority`` 0 is the most urgent. ``max_attempts`` is the number of
    upstreams on which one request may run. ``resumable`` streams can be continued at another
    upstream. ``gap_target_s`` is the longest pause between two events of a stream with which the
    answer still counts as on time. Requests on ``anonymous`` routes need no tenant's key.
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
    anonymous: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run already can be retried."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT
