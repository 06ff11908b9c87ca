"""Actions that the router returns and the node performs."""

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
    "ReportDemand",
    "ShareSuspect",
    "StallDetected",
]


@dataclass(frozen=True)
class Dispatch:
    """Send a request to ``upstream``.

    With ``load_adapter`` the adapter has to be loaded there first. ``tokens_done`` is the number of
    tokens to resume from. ``alone`` is true for a suspect, which runs alone on its upstream.
    ``retry`` is set for a request that was sent before and is counted as ``retried.<reason>``.
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

    ``denial`` is set if a retry was denied. ``retry_after_s`` is None if retrying later would not
    succeed.
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
    """Cancel a request at its upstream and report a failure of kind PREEMPTED to queue it again.

    Requests are preempted in two cases: a patient stream frees its slot for an urgent request, and
    requests without a first token leave a stalled upstream.
    """

    request_id: str
    upstream: str


@dataclass(frozen=True)
class ReportDemand:
    """Report to the planner that a request for a model or adapter found no copy with free slots."""

    name: str
    version: str
    urgent: bool


@dataclass(frozen=True)
class ClaimDigest:
    """Request a claim to run a digest from node ``owner``, or with ``lane`` the suspect lane.

    The suspect lane lets one suspect of the whole system run at a time. The node calls
    ``on_claim_granted`` or ``on_claim_denied`` with the answer, and ``on_claim_unavailable`` if the
    owner does not answer.
    """

    request_id: str
    digest: str
    owner: str
    lane: bool = False


class ClaimOutcome(Enum):
    """Outcome of a claimed run."""

    COMPLETED = "completed"
    CRASHED = "crashed"
    DROPPED = "dropped"


@dataclass(frozen=True)
class ReleaseClaim:
    """Notify node ``owner`` that a claimed run has ended.

    ``incident`` is the name of the crash that ended it, or empty for other outcomes.
    """

    request_id: str
    digest: str
    owner: str
    outcome: ClaimOutcome
    incident: str = ""
    lane: bool = False


@dataclass(frozen=True)
class GrantClaim:
    """Grant a claim of ``node``. Sent by the owner of the digest."""

    node: str
    request_id: str
    digest: str
    lane: bool = False


@dataclass(frozen=True)
class DenyClaim:
    """Deny a claim of ``node`` because the digest is confirmed to crash upstreams.

    Sent by the owner of the digest.
    """

    node: str
    request_id: str
    digest: str


@dataclass(frozen=True)
class ShareSuspect:
    """Share the incidents of a digest with all nodes and the object ``suspects/<digest>``.

    ``incidents`` contains every known crash of the digest; receivers merge it by set union. With
    ``cleared`` the digest has since completed, and these incidents no longer count.
    """

    digest: str
    incidents: tuple[str, ...]
    cleared: bool = False


@dataclass(frozen=True)
class StallDetected:
    """Notify all nodes and the planner of an upstream that accepts requests but makes no progress.

    This node sends no new requests there for ``backoff_s`` seconds.
    """

    upstream: str
    backoff_s: float


Action = (
    Dispatch
    | Refuse
    | Preempt
    | ReportDemand
    | ClaimDigest
    | ReleaseClaim
    | GrantClaim
    | DenyClaim
    | ShareSuspect
    | StallDetected
)
