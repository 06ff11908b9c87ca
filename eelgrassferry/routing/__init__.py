"""Decisions on a request's way, as state machines without I/O."""

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
    ShareSuspect,
    StallSeen,
    WantModel,
)
from .budget import RetryBudget
from .claims import ClaimRegistry
from .limit import InflightLimit
from .load import LoadBook
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
    "LoadBook",
    "LoadReport",
    "NodeIdentity",
    "Preempt",
    "PrefixView",
    "RefusalReason",
    "Refuse",
    "ReleaseClaim",
    "ResidencyView",
    "ResidentCopy",
    "RetryBudget",
    "RetryDenial",
    "RetryReason",
    "RouteRequest",
    "Router",
    "RouterSnapshot",
    "ShareSuspect",
    "StallSeen",
    "SuspectRegistry",
    "UpstreamFailure",
    "UpstreamSnapshot",
    "UpstreamState",
    "Verdict",
    "WantModel",
]
