"""The router's record of one request from submission to its end."""

from dataclasses import dataclass, field

from .messages import FailureKind, RouteRequest
from .reasons import ExecutionStatus, RetryReason

__all__ = ["Flight", "Job"]

# Multiplied by the number of attempts. Without it, a request whose only copy had become
# unreachable used up its attempts before the residency view was told.
RETRY_PAUSE_S = 0.1


@dataclass
class Flight:
    """One run of a request at an upstream.

    ``expected_s`` is the time to first token that the upstream's settings promise under the
    estimated load.
    """

    upstream: str
    version: str
    sent_at: float
    expected_s: float
    prefill_tokens: float
    alone: bool
    first_token_at: float | None = None
    tokens: int = 0
    gap_noted_at: int = 0
    preempting: bool = False


@dataclass(eq=False)
class Job:
    """A request that is waiting for a claim, queued, or in flight.

    ``version`` is set once a token was received: the rest must come from the same version.
    ``alone`` marks a suspect. ``claimed`` and ``in_lane`` say which claims it holds;
    ``claim_owner`` and ``lane_owner`` name the nodes that were asked. Upstreams in ``avoid`` failed
    this job; until ``avoid_until`` they are not tried again even when nothing else is left.
    """

    request: RouteRequest
    submitted_at: float
    deadline_at: float
    tokens_done: int = 0
    version: str | None = None
    attempts: int = 0
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
    flight: Flight | None = None

    @property
    def queue_key(self) -> str:
        """Return the queue to wait in: a job bound to a version must not hold up the others."""
        name = self.request.name
        return f"{name}@{self.version}" if self.tokens_done else name

    @property
    def ran(self) -> ExecutionStatus:
        """Return what the caller is told when the request is refused now."""
        if self.tokens_done:
            return ExecutionStatus.YES
        return ExecutionStatus.UNKNOWN if self.may_have_run else ExecutionStatus.NO

    def note_failure(self, kind: FailureKind, upstream: str, tokens: int, now: float) -> None:
        """Take the end of a flight that did not complete."""
        self.tokens_done = max(self.tokens_done, tokens)
        if self.flight and self.tokens_done:
            self.version = self.flight.version
        self.flight = None
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
            self.attempts += 1
            self.avoid_until = now + RETRY_PAUSE_S * self.attempts
        self.retry = RetryReason(kind.value)
