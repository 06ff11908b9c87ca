"""Dispatch of requests from an entry node to upstreams, as a state machine without I/O."""

from .actions import (
    Abandon,
    Action,
    AttemptFailure,
    Fail,
    FailReason,
    ForwardAnswer,
    Probe,
    Refuse,
    RefuseReason,
    Send,
)
from .crash_analyzer import CrashAnalyzer
from .crash_evidence import BlockedContent, BrokenRun, CrashEvidence
from .dispatcher import Dispatcher
from .fingerprints import request_fingerprint
from .fleet_residency import CoordinatorResidency, FleetResidency
from .job import Attempt, Job
from .load_view import NO_LOAD, UpstreamLoad
from .prefill_slowness_estimator import PrefillSlownessEstimator
from .slowness_factors import SlownessFactors
from .slowness_sample import SlownessSample
from .turn_book import TurnBook, TurnReply, TurnRequest
from .upstream_notices import ProcessNotice, UpstreamNotices

__all__ = [
    "NO_LOAD",
    "Abandon",
    "Action",
    "Attempt",
    "AttemptFailure",
    "BlockedContent",
    "BrokenRun",
    "CoordinatorResidency",
    "CrashAnalyzer",
    "CrashEvidence",
    "Dispatcher",
    "Fail",
    "FailReason",
    "FleetResidency",
    "ForwardAnswer",
    "Job",
    "PrefillSlownessEstimator",
    "Probe",
    "ProcessNotice",
    "Refuse",
    "RefuseReason",
    "Send",
    "SlownessFactors",
    "SlownessSample",
    "TurnBook",
    "TurnReply",
    "TurnRequest",
    "UpstreamLoad",
    "UpstreamNotices",
    "request_fingerprint",
]
