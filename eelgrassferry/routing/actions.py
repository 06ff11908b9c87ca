"""What the router asks the node to do."""

from dataclasses import dataclass
from enum import Enum

from .reasons import ExecutionStatus, RefusalReason, RetryDenial, RetryReason

__all__ = [
    "Action",
    "ClaimDigest",
    "ClaimOutcome",
    "DenyClaim",
    "Dispatch",
    "GrantClaim",
    "Preempt",
    "Refuse",
    "ReleaseClaim",
    "ShareSuspect",
    "StallSeen",
    "WantModel",
]


@dataclass(frozen=True)
class Dispatch:
    """Send the request to ``upstream``.

    ``load_adapter`` says that the adapter has to be loaded there first. ``tokens_done`` is the
    number of tokens to resume from. ``alone`` marks a suspect. ``retry`` is set when the request
    was sent before, and is counted as ``retried.<reason>``.
    """

    request_id: str
    upstream: str
    name: str
    version: str
    load_adapter: bool
    alone: bool
    tokens_done: int
    explanation: str
    retry: RetryReason | None = None


@dataclass(frozen=True)
class Refuse:
    """Answer the caller with a problem document.

    ``denial`` is set when a retry was denied. ``retry_after_s`` is None where waiting is of no use.
    """

    request_id: str
    reason: RefusalReason
    status: int
    detail: str
    ran: ExecutionStatus
    retry_after_s: float | None = None
    denial: RetryDenial | None = None


@dataclass(frozen=True)
class Preempt:
    """Cancel the patient stream and report it with kind PREEMPTED; it is queued again."""

    request_id: str
    upstream: str


@dataclass(frozen=True)
class WantModel:
    """Tell the planner that a request of this model or adapter found no copy with room."""

    name: str
    version: str
    urgent: bool


@dataclass(frozen=True)
class ClaimDigest:
    """Ask node ``owner`` for the right to run a digest, or, with ``lane``, for the turn that
    lets one suspect of the whole system run. Answer with ``on_claim_granted`` or, when the owner
    does not answer, with ``on_claim_unavailable``.
    """

    request_id: str
    digest: str
    owner: str
    lane: bool = False


class ClaimOutcome(Enum):
    """How a claimed run ended."""

    COMPLETED = "completed"
    CRASHED = "crashed"
    DROPPED = "dropped"


@dataclass(frozen=True)
class ReleaseClaim:
    """Tell node ``owner`` that a claimed run has ended.

    ``incident`` names the crash that ended it, and is empty for other outcomes.
    """

    request_id: str
    digest: str
    owner: str
    outcome: ClaimOutcome
    incident: str = ""
    lane: bool = False


@dataclass(frozen=True)
class GrantClaim:
    """Tell ``node`` that its claim is granted (sent by the digest's owner)."""

    node: str
    request_id: str
    digest: str
    lane: bool = False


@dataclass(frozen=True)
class DenyClaim:
    """Tell ``node`` that the digest is confirmed as crashing (sent by the digest's owner)."""

    node: str
    request_id: str
    digest: str


@dataclass(frozen=True)
class ShareSuspect:
    """Tell every node, and the object ``suspects/<digest>``, about a digest's crashes.

    ``incidents`` names every known crash of the digest; receivers take the union. With
    ``cleared`` the digest has since completed, and these incidents no longer count.
    """

    digest: str
    incidents: tuple[str, ...]
    cleared: bool = False


@dataclass(frozen=True)
class StallSeen:
    """Tell every node and the planner that an upstream accepted a request and made no progress.

    This node sends nothing there for ``pause_s`` seconds.
    """

    upstream: str
    pause_s: float


Action = (
    Dispatch
    | Refuse
    | Preempt
    | WantModel
    | ClaimDigest
    | ReleaseClaim
    | GrantClaim
    | DenyClaim
    | ShareSuspect
    | StallSeen
)
