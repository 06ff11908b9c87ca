"""Reasons for refusals, retries and denied retries.

Each value is part of a statsd counter name (``refused.<reason>``, ``retried.<reason>``,
``retry_denied.<reason>``), so released values must not change.
"""

from enum import Enum

from ..http import ExecutionStatus

__all__ = ["ExecutionStatus", "RefusalReason", "RetryDenial", "RetryReason"]


class RefusalReason(Enum):
    """Reason for answering a request with a problem document instead of tokens."""

    UNKNOWN_MODEL = "unknown_model"
    NOT_RESIDENT = "not_resident"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    CRASHED_UPSTREAMS = "crashed_upstreams"
    NOT_REPEATABLE = "not_repeatable"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    VERSION_GONE = "version_gone"

    @property
    def status(self) -> int:
        """Return the HTTP status of the refusal."""
        match self:
            case RefusalReason.UNKNOWN_MODEL:
                return 404
            case RefusalReason.QUEUE_FULL:
                return 429
            case RefusalReason.CRASHED_UPSTREAMS:
                return 422
            case RefusalReason.DEADLINE_PASSED:
                return 504
            case RefusalReason.NOT_REPEATABLE | RefusalReason.TOO_MANY_ATTEMPTS:
                return 502
            case _:
                return 503


class RetryReason(Enum):
    """Reason for sending a request to an upstream again."""

    NOT_RUN = "not_run"
    BROKEN = "broken"
    CRASHED = "crashed"
    TIMEOUT = "timeout"
    PREEMPTED = "preempted"
    NOT_RESIDENT = "not_resident"


class RetryDenial(Enum):
    """Reason for not sending a failed request again."""

    BUDGET_EMPTY = "budget_empty"
    NOT_REPEATABLE = "not_repeatable"
    DEADLINE_PASSED = "deadline_passed"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    CRASHED_UPSTREAMS = "crashed_upstreams"

    @property
    def refusal(self) -> RefusalReason:
        """Return the refusal reason sent to the caller."""
        match self:
            case RetryDenial.BUDGET_EMPTY:
                return RefusalReason.RETRY_BUDGET_EMPTY
            case RetryDenial.NOT_REPEATABLE:
                return RefusalReason.NOT_REPEATABLE
            case RetryDenial.DEADLINE_PASSED:
                return RefusalReason.DEADLINE_PASSED
            case RetryDenial.TOO_MANY_ATTEMPTS:
                return RefusalReason.TOO_MANY_ATTEMPTS
            case RetryDenial.CRASHED_UPSTREAMS:
                return RefusalReason.CRASHED_UPSTREAMS
