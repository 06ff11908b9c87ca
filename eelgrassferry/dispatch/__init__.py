"""Dispatch of requests from an entry node to upstreams, as a state machine without I/O."""

from .actions import (
    Action,
    AttemptFailure,
    Fail,
    FailReason,
    ForwardAnswer,
    Refuse,
    RefuseReason,
    Send,
)
from .dispatcher import Dispatcher
from .fingerprints import request_fingerprint
from .fleet_residency import CoordinatorResidency, FleetResidency
from .job import Attempt, Job
from .load_view import NO_LOAD, UpstreamLoad
from .prefill_slowness_estimator import PrefillSlownessEstimator
from .slowness_factors import SlownessFactors
from .slowness_sample import SlownessSample

__all__ = [
    "NO_LOAD",
    "Action",
    "Attempt",
    "AttemptFailure",
    "CoordinatorResidency",
    "Dispatcher",
    "Fail",
    "FailReason",
    "FleetResidency",
    "ForwardAnswer",
    "Job",
    "PrefillSlownessEstimator",
    "Refuse",
    "RefuseReason",
    "Send",
    "SlownessFactors",
    "SlownessSample",
    "UpstreamLoad",
    "request_fingerprint",
]
