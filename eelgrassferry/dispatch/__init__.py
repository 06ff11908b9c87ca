"""Dispatch of requests from an entry node to upstreams, as a state machine without I/O."""

from .actions import Action, Answer, Fail, FailReason, FlightEnd, Refuse, RefuseReason, Send
from .dispatcher import Dispatcher
from .fleet_residency import FleetResidency, OrderedResidency
from .job import Attempt, Job
from .load_view import NO_LOAD, UpstreamLoad
from .pace_factors import PaceFactors
from .pace_seen import PaceSeen
from .prefill_slowness_estimator import PrefillSlownessEstimator

__all__ = [
    "NO_LOAD",
    "Action",
    "Answer",
    "Attempt",
    "Dispatcher",
    "Fail",
    "FailReason",
    "FleetResidency",
    "FlightEnd",
    "Job",
    "OrderedResidency",
    "PaceFactors",
    "PaceSeen",
    "PrefillSlownessEstimator",
    "Refuse",
    "RefuseReason",
    "Send",
    "UpstreamLoad",
]
