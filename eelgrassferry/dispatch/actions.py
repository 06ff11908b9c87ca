"""Actions that the dispatcher returns to its driver, and their reasons."""

from dataclasses import dataclass
from enum import Enum

from .job import Job

__all__ = [
    "Abandon",
    "Action",
    "AttemptFailure",
    "Fail",
    "FailReason",
    "ForwardAnswer",
    "Probe",
    "Refuse",
    "RefuseReason",
    "Send",
]


class RefuseReason(Enum):
    """Reason for refusing a request that did not run. Each value has a counter."""

    NO_CONFIG = "no_config"
    NO_UPSTREAM = "no_upstream"
    NOT_RESIDENT = "not_resident"
    NO_CAPACITY = "no_capacity"
    UPSTREAM_LIMIT = "upstream_limit"
    TOO_LARGE = "too_large"
    UNKNOWN_MODEL = "unknown_model"
    NOT_RUN_UPSTREAM = "not_run_upstream"
    CRASHED_UPSTREAMS = "crashed_upstreams"
    OVER_QUOTA = "over_quota"
    STOPPING = "stopping"


class FailReason(Enum):
    """Reason for failing a request that may have run. Each value has a counter."""

    CONNECTION_LOST = "connection_lost"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"
    CRASHED_UPSTREAMS = "crashed_upstreams"
    INTERNAL_ERROR = "internal_error"


class AttemptFailure(Enum):
    """Kind of failure that ended an attempt.

    - ``UNSENT``: no byte was sent.
    - ``NO_LISTENER``: no byte was sent, because nothing listens at the address.
    - ``NOT_RUN``: the upstream answered that it did not run the request.
    - ``NOT_RESIDENT``: the upstream did not run the request, because the model or adapter is not
      loaded.
    - ``OTHER_INSTANCE``: another incarnation of the upstream answered.
    - ``ERROR``: the upstream sent a complete answer with an error status.
    - ``BROKEN``: the connection or the answer broke off, so the request may have run.
    - ``SILENT``: no answer arrived before the timeout.
    """

    UNSENT = "unsent"
    NO_LISTENER = "no_listener"
    NOT_RUN = "not_run"
    NOT_RESIDENT = "not_resident"
    OTHER_INSTANCE = "other_instance"
    ERROR = "error"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(frozen=True)
class Send:
    """Send the request to an upstream. ``repeat`` marks a retry."""

    job: Job
    instance: str
    repeat: bool


@dataclass(frozen=True)
class Refuse:
    """Answer that the request did not run.

    ``retry_after_s`` is None if a retry cannot succeed.
    """

    job: Job
    reason: RefuseReason
    retry_after_s: float | None


@dataclass(frozen=True)
class Fail:
    """Answer with an error, or abort an answer that has begun. The request may have run."""

    job: Job
    reason: FailReason


@dataclass(frozen=True)
class ForwardAnswer:
    """Forward the stored failure response of an upstream after all retries are exhausted."""

    job: Job


@dataclass(frozen=True)
class Probe:
    """Check whether an upstream still listens, because a run of the request on it has broken."""

    job: Job
    instance: str


@dataclass(frozen=True)
class Abandon:
    """End the request, because ``error`` was raised while it was handled."""

    job: Job
    error: Exception


Action = Send | Refuse | Fail | ForwardAnswer | Probe | Abandon
