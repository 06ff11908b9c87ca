"""What the shell has to do for a request."""

from dataclasses import dataclass
from enum import Enum

from .job import Job

__all__ = ["Action", "Answer", "Fail", "FailReason", "FlightEnd", "Refuse", "RefuseReason", "Send"]


class RefuseReason(Enum):
    """Why a request that did not run is refused. Each has a counter."""

    NO_CONFIG = "no_config"
    NO_UPSTREAM = "no_upstream"
    NOT_RESIDENT = "not_resident"
    NO_CAPACITY = "no_capacity"
    TOO_LARGE = "too_large"
    UNKNOWN_MODEL = "unknown_model"
    NOT_RUN_UPSTREAM = "not_run_upstream"
    STOPPING = "stopping"


class FailReason(Enum):
    """Why a request that may have run gets no upstream's answer. Each has a counter."""

    CONNECTION_LOST = "connection_lost"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"


class FlightEnd(Enum):
    """How a run ended that brought no complete success.

    ``UNSENT``: no byte was sent. ``NO_LISTENER``: the same, because nothing listens at the address.
    ``NOT_RUN``: the upstream's own statement. ``NOT_RESIDENT``: the
    same, because the model or adapter is not there. ``OTHER_INSTANCE``: another incarnation
    answered. ``ERROR``: a complete answer with a failure status. ``BROKEN``: the connection or
    the answer broke, so the request may have run. ``SILENT``: given up while no answer came.
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
    """Send the request to an upstream."""

    job: Job
    instance: str
    repeat: bool


@dataclass(frozen=True)
class Refuse:
    """Answer that the request did not run. ``retry_after_s`` is None where it cannot be served."""

    job: Job
    reason: RefuseReason
    retry_after_s: float | None


@dataclass(frozen=True)
class Fail:
    """Answer, or break off, without a promise."""

    job: Job
    reason: FailReason


@dataclass(frozen=True)
class Answer:
    """Pass on the upstream's own failure, which was kept while another run was possible."""

    job: Job


Action = Send | Refuse | Fail | Answer
