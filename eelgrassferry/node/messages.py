"""What nodes tell each other beside membership and gossip."""

from dataclasses import dataclass

from ..peers import message
from ..routing import ClaimOutcome, ResidentCopy

__all__ = [
    "Ack",
    "ClaimAnswer",
    "ClaimRelease",
    "ClaimRequest",
    "DemandNotice",
    "HolderNotice",
    "LeavingNotice",
    "ResidencyNotice",
    "RetiredNotice",
    "StallNotice",
    "SuspectNotice",
    "WantCopy",
]


@message("node.want")
@dataclass(frozen=True)
class WantCopy:
    """A request for ``name`` found no copy with room; goes to the holder of the area's lease."""

    name: str
    urgent: bool


@message("node.ack")
@dataclass(frozen=True)
class Ack:
    """The answer to a request; ``accepted`` is False where the asked node cannot act on it."""

    accepted: bool


@message("node.holder")
@dataclass(frozen=True)
class HolderNotice:
    """The sender holds the lease of ``area`` with ``epoch``."""

    area: str
    epoch: int


@message("node.residency")
@dataclass(frozen=True)
class ResidencyNotice:
    """What the lease holder has just read from an engine's status."""

    upstream: str
    copies: tuple[ResidentCopy, ...]


@message("node.leaving")
@dataclass(frozen=True)
class LeavingNotice:
    """The sender has learned that these upstreams are leaving."""

    upstreams: tuple[str, ...]


@message("node.demand")
@dataclass(frozen=True)
class DemandNotice:
    """Urgent and patient requests by name since the last notice; goes to the lease holder."""

    demand: dict[str, tuple[int, int]]


@message("node.retired")
@dataclass(frozen=True)
class RetiredNotice:
    """The sender's process will send no engine order any more under these instance ids."""

    instances: tuple[str, ...]


@message("node.stall")
@dataclass(frozen=True)
class StallNotice:
    """The sender saw a request make no progress at an upstream and pauses it."""

    upstream: str
    pause_s: float


@message("node.claim")
@dataclass(frozen=True)
class ClaimRequest:
    """Asks the owner of a digest for the right to run it."""

    request_id: str
    digest: str
    lane: bool


@message("node.claim_answer")
@dataclass(frozen=True)
class ClaimAnswer:
    """The owner's answer; a claim that has to wait is answered later."""

    request_id: str
    digest: str
    granted: bool
    lane: bool


@message("node.claim_release")
@dataclass(frozen=True)
class ClaimRelease:
    """A claimed run has ended."""

    request_id: str
    digest: str
    outcome: ClaimOutcome
    incident: str
    lane: bool


@message("node.suspect")
@dataclass(frozen=True)
class SuspectNotice:
    """Known crashes of a digest."""

    digest: str
    incidents: tuple[str, ...]
    cleared: bool
