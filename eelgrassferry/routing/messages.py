"""Inputs of the router: requests, failures, residency, load reports and cache events."""

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
    """Name and failure domain of the routing node."""

    name: str
    domain: str


@dataclass(frozen=True)
class RouteRequest:
    """Request of a caller.

    ``name`` is a model or an adapter. ``deadline_at`` is the time by which the first token is due.
    ``prefix_hashes`` are the hashes of the successive blocks of ``PREFIX_BLOCK_TOKENS`` prompt
    tokens, each of which covers the prompt up to the end of its block. ``repeatable`` is false if
    the request must not be sent again once it may have run.
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
    """Kind of a failure of a request at an upstream."""

    NOT_RUN = "not_run"
    BROKEN = "broken"
    CRASHED = "crashed"
    TIMEOUT = "timeout"
    PREEMPTED = "preempted"
    NOT_RESIDENT = "not_resident"


@dataclass(frozen=True)
class UpstreamFailure:
    """Failure of a request at an upstream. ``detail`` is for logs and problem documents."""

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
    """Model or adapter that is resident in the memory of an upstream.

    ``serving`` is false for a version that is being probed or drained. It gets no new requests, but
    broken streams of that version may be resumed on it.
    """

    name: str
    version: str
    serving: bool = True


@dataclass(frozen=True)
class LoadReport:
    """Number of requests at an engine, as reported by it, at the time ``measured_at``.

    The reader sets ``measured_at`` by its own clock: for ``/admin/status`` to the time of sending,
    for ``/admin/load`` to the time of reading minus the lag if the lag is known.
    """

    upstream: str
    running: int
    queued: int
    measured_at: float


class CacheEventKind(Enum):
    """Kind of a change of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """Numbered change of an engine's prefix cache."""

    number: int
    kind: CacheEventKind
    hashes: tuple[str, ...] = ()
