"""Messages between nodes, except those for membership and gossip."""

from dataclasses import dataclass

from ..peers import message
from ..routing import ClaimOutcome, ResidentCopy

__all__ = [
    "Ack",
    "ClaimAnswer",
    "ClaimRelease",
    "ClaimRequest",
    "CopyRequest",
    "DemandNotice",
    "HolderNotice",
    "LeavingNotice",
    "ResidencyNotice",
    "RetiredNotice",
    "StallNotice",
    "SuspectNotice",
]


@message("node.want")
@dataclass(frozen=True)
class CopyRequest:
    """Requests a copy of ``name`` from the lease holder.

    It is sent if no existing copy has capacity for a request, or if the upstream that the router
    chose has yet to load the adapter.
    """

    name: str
    urgent: bool


@message("node.ack")
@dataclass(frozen=True)
class Ack:
    """Answers a request; ``accepted`` is False if the receiver cannot act on it."""

    accepted: bool


@message("node.holder")
@dataclass(frozen=True)
class HolderNotice:
    """Announces that the sender holds the lease of ``area`` with ``epoch``."""

    area: str
    epoch: int


@message("node.residency")
@dataclass(frozen=True)
class ResidencyNotice:
    """Announces the copies on an engine, as the lease holder read them from its status."""

    upstream: str
    copies: tuple[ResidentCopy, ...]


@message("node.leaving")
@dataclass(frozen=True)
class LeavingNotice:
    """Announces upstreams that the sender observed leaving."""

    upstreams: tuple[str, ...]


@message("node.demand")
@dataclass(frozen=True)
class DemandNotice:
    """Reports to the lease holder the urgent and patient requests by name since the last notice."""

    demand: dict[str, tuple[int, int]]


@message("node.retired")
@dataclass(frozen=True)
class RetiredNotice:
    """Guarantees that the sender sends no more engine orders under these instance ids."""

    instances: tuple[str, ...]


@message("node.stall")
@dataclass(frozen=True)
class StallNotice:
    """Announces a stalled request at an upstream, which the sender avoids for ``pause_s``."""

    upstream: str
    pause_s: float


@message("node.claim")
@dataclass(frozen=True)
class ClaimRequest:
    """Requests from the owner of a digest the right to run a request with it.

    With ``lane``, it requests the suspect lane from its owner: the single slot in which crash
    suspects run, one at a time in the whole system.
    """

    request_id: str
    digest: str
    lane: bool


@message("node.claim_answer")
@dataclass(frozen=True)
class ClaimAnswer:
    """Answers a claim. A claim that has to wait is answered when it is granted or denied."""

    request_id: str
    digest: str
    granted: bool
    lane: bool


@message("node.claim_release")
@dataclass(frozen=True)
class ClaimRelease:
    """Reports to the owner that a claimed run has ended.

    ``incident`` names the crash that ended it, and is empty for other outcomes.
    """

    request_id: str
    digest: str
    outcome: ClaimOutcome
    incident: str
    lane: bool


@message("node.suspect")
@dataclass(frozen=True)
class SuspectNotice:
    """Announces the known crashes of a digest.

    With ``cleared``, the digest has since completed and these crashes no longer count.
    """

    digest: str
    incidents: tuple[str, ...]
    cleared: bool
