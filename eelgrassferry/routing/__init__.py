"""Request routing, crash isolation and retries as state machines without I/O."""

from .actions import (
    Action,
    ClaimDigest,
    ClaimOutcome,
    DenyClaim,
    Dispatch,
    GrantClaim,
    Preempt,
    Refuse,
    ReleaseClaim,
    ReportDemand,
    ShareSuspect,
    StallDetected,
)
from .budget import RetryBudget
from .claims import ClaimRegistry
from .limit import InflightLimit
from .load import LoadEstimator
from .messages import (
    CacheEvent,
    CacheEventKind,
    FailureKind,
    LoadReport,
    NodeIdentity,
    ResidentCopy,
    RouteRequest,
    UpstreamFailure,
    UpstreamState,
)
from .prefix import PREFIX_BLOCK_TOKENS, PrefixView
from .reasons import ExecutionStatus, RefusalReason, RetryDenial, RetryReason
from .residency import ResidencyView
from .router import Router
from .snapshot import RouterSnapshot, UpstreamSnapshot
from .suspects import SuspectRegistry, Verdict

__all__ = [
    "PREFIX_BLOCK_TOKENS",
    "Action",
    "CacheEvent",
    "CacheEventKind",
    "ClaimDigest",
    "ClaimOutcome",
    "ClaimRegistry",
    "DenyClaim",
    "Dispatch",
    "ExecutionStatus",
    "FailureKind",
    "GrantClaim",
    "InflightLimit",
    "LoadEstimator",
    "LoadReport",
    "NodeIdentity",
    "Preempt",
    "PrefixView",
    "RefusalReason",
    "Refuse",
    "ReleaseClaim",
    "ReportDemand",
    "ResidencyView",
    "ResidentCopy",
    "RetryBudget",
    "RetryDenial",
    "RetryReason",
    "RouteRequest",
    "Router",
    "RouterSnapshot",
    "ShareSuspect",
    "StallDetected",
    "SuspectRegistry",
    "UpstreamFailure",
    "UpstreamSnapshot",
    "UpstreamState",
    "Verdict",
]
