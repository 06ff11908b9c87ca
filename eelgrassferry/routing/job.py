"""State of one request in the router from submission to completion."""

from dataclasses import dataclass, field

from .messages import FailureKind, RouteRequest
from .reasons import ExecutionStatus, RetryReason

__all__ = ["Attempt", "Job"]

# Backoff in seconds, multiplied by the number of failed attempts. Without it, a request whose only
# copy became unreachable used up its attempts before the residency view was updated.
RETRY_BACKOFF_S = 0.1


@dataclass
class Attempt:
    """Run of a request at an upstream.

    ``expected_first_token_s`` is the time to first token according to the settings of the upstream
    and its estimated load. ``gap_sampled_tokens`` is the number of tokens at the last sample of the
    token gap.
    """

    upstream: str
    version: str
    sent_at: float
    expected_first_token_s: float
    prefill_tokens: float
    alone: bool
    first_token_at: float | None = None
    tokens: int = 0
    gap_sampled_tokens: int = 0
    preempting: bool = False


@dataclass(eq=False)
class Job:
    """Request that waits for a claim, is queued, or is in flight.

    ``version`` is set with the first token, because the same version must complete the answer.
    ``alone`` is true for a suspect. ``claimed`` and ``in_lane`` are true once the claim and the
    suspect lane are granted; ``claim_owner`` and ``lane_owner`` are the nodes that they were
    requested from. Upstreams in ``avoid`` failed this job. Before ``avoid_until`` they are not used
    again even if there is no other candidate.
    """

    request: RouteRequest
    submitted_at: float
    deadline_at: float
    tokens_done: int = 0
    version: str | None = None
    failed_attempts: int = 0
    preemptions: int = 0
    avoid: set[str] = field(default_factory=set)
    avoid_until: float = 0.0
    retry: RetryReason | None = None
    may_have_run: bool = False
    alone: bool = False
    claimed: bool = False
    claim_owner: str = ""
    in_lane: bool = False
    lane_owner: str = ""
    queued: bool = False
    closed: bool = False
    attempt: Attempt | None = None

    @property
    def queue_key(self) -> str:
        """Return the key of the queue to wait in.

        A job bound to a version has a separate queue, so that it does not block other jobs.
        """
        name = self.request.name
        return f"{name}@{self.version}" if self.tokens_done else name

    @property
    def ran(self) -> ExecutionStatus:
        """Return whether the request has run, as reported in a refusal."""
        if self.tokens_done:
            return ExecutionStatus.YES
        return ExecutionStatus.UNKNOWN if self.may_have_run else ExecutionStatus.NO

    def record_failure(self, kind: FailureKind, upstream: str, tokens: int, now: float) -> None:
        """Record the failure of the current attempt."""
        self.tokens_done = max(self.tokens_done, tokens)
        if self.attempt and self.tokens_done:
            self.version = self.attempt.version
        self.attempt = None
        match kind:
            case FailureKind.NOT_RUN | FailureKind.NOT_RESIDENT:
                self.avoid.add(upstream)
            case FailureKind.PREEMPTED:
                self.preemptions += 1
                self.may_have_run = True
            case FailureKind.BROKEN | FailureKind.CRASHED | FailureKind.TIMEOUT:
                self.avoid.add(upstream)
                self.may_have_run = True
        if kind is not FailureKind.PREEMPTED:
            self.failed_attempts += 1
            self.avoid_until = now + RETRY_BACKOFF_S * self.failed_attempts
        self.retry = RetryReason(kind.value)
