"""What the router is told: requests, failures, residency, load and cache events."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "FailureKind",
    "LoadReport",
    "NodeIdentity",
    "ResidentCopy",
    "RouteRequest",
    "UpstreamFailure",
    "UpstreamState",
]


@dataclass(frozen=True)
class NodeIdentity:
    """The node that routes and its failure domain."""

    name: str
    domain: str


@dataclass(frozen=True)
class RouteRequest:
    """One request of a caller.

    ``name`` is a model or an adapter. ``deadline_at`` is the time by which the first token is
    due. ``prefix_hashes`` are the hashes of the prompt's successive blocks of
    ``PREFIX_BLOCK_TOKENS`` tokens, each covering everything before it.
    """

    request_id: str
    name: str
    urgent: bool
    deadline_at: float
    prompt_tokens: int
    max_tokens: int
    digest: str
    prefix_hashes: tuple[str, ...] = ()
    repeatable: bool = True


class FailureKind(Enum):
    """How a request failed at an upstream."""

    NOT_RUN = "not_run"
    BROKEN = "broken"
    CRASHED = "crashed"
    TIMEOUT = "timeout"
    PREEMPTED = "preempted"
    NOT_RESIDENT = "not_resident"


@dataclass(frozen=True)
class UpstreamFailure:
    """A failure of one request at one upstream. ``detail`` is for logs and problem documents."""

    kind: FailureKind
    upstream: str
    detail: str = ""


class UpstreamState(Enum):
    """State of an upstream in the host list or in its own status."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class ResidentCopy:
    """A model or adapter in an upstream's memory.

    ``serving`` is false for a version that is still probed or that is drained: it gets no new
    requests, and a broken stream of its version may still be resumed on it.
    """

    name: str
    version: str
    serving: bool = True


@dataclass(frozen=True)
class LoadReport:
    """An engine's own count of its requests, which describes the time ``measured_at``.

    The reader sets ``measured_at`` on its own clock: for ``/admin/status`` the time of sending,
    for ``/admin/load`` the time of reading less the lag, when the lag is known.
    """

    upstream: str
    running: int
    queued: int
    measured_at: float


class CacheEventKind(Enum):
    """What happened to blocks of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """One numbered event of an engine's prefix cache."""

    number: int
    kind: CacheEventKind
    hashes: tuple[str, ...] = ()
