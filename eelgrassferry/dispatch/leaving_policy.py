"""Decision whether a request leaves the failure domain of its node."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..fleet import RequestKind
from .job import Attempt, Job
from .link_times import LinkTimes

__all__ = ["DomainOption", "LeaveCause", "LeavingPolicy"]

# Share of the caller's slack that leaving has to gain: a request leaves if the other domain answers
# earlier by more than the time of the link and this share of the time that an answer in the own
# domain leaves until the target. Without slack only the link counts. The share grows with the bytes
# that would cross between the domains, because their cost does.
MIN_SLACK_SHARE = 0.25
MAX_SLACK_SHARE = 0.5
# Bytes of request and answer at which the share is halfway between the two: a prompt of about
# 10,000 tokens, the largest part of what crosses.
HALFWAY_BYTES = 40_000
# The share is reduced to this part for a time in seconds after a request of the same service and
# model has left, and not for the way back. Small changes of load then neither open and close the
# way nor make two domains send work to each other.
HELD_PART = 0.6
HOLD_S = 1.0
# Reserve of an upstream for callers of its own domain: it gets none from others that have capable
# upstreams themselves beyond this share of its capacity, or when a request would wait there for
# more than this share of the latency target.
FOREIGN_LOAD_SHARE = 0.9
FOREIGN_WAIT_SHARE = 0.75
# A request that would still have this many seconds until its target if it left waits for a place in
# its own domain. Running requests end within that time, also long streams.
PATIENT_SLACK_S = 2.0
# Size of the answers of a route that is assumed before the first one, in bytes, and the weight of
# one answer in the moving average.
INITIAL_ANSWER_BYTES = 2_000.0
ANSWER_WEIGHT = 0.1


class LeaveCause(Enum):
    """Cause for sending a request to another failure domain. Each value has counters.

    - ``NO_COPY``: no upstream of the own domain can run the request.
    - ``FULL``: those that can have no capacity.
    - ``LATE``: they would miss the latency target.
    - ``SLOWER``: they would meet it, but the other domain answers much earlier.
    """

    NO_COPY = "no_copy"
    FULL = "full"
    LATE = "late"
    SLOWER = "slower"


@dataclass(frozen=True)
class DomainOption:
    """An attempt that could be made, with its cost in seconds and the upstream's domain."""

    cost_s: float
    attempt: Attempt
    domain: str


class LeavingPolicy:
    """Chooses between the own failure domain and the others, for the requests of one node.

    A request that is answered in time at home stays there even if it were answered a little earlier
    elsewhere, and an urgent one that would be late at home leaves. ``links`` contains the measured
    times between the domains.
    """

    def __init__(self, domain: str) -> None:
        self.links = LinkTimes(domain)
        self._domain = domain
        self._answer_bytes: dict[str, float] = {}
        self._left_at: dict[tuple[str, str], float] = {}

    def choose(
        self, job: Job, options: Iterable[DomainOption], has_copy: bool, now: float
    ) -> Attempt | None:
        """Return the best attempt, None if there is none or the request should wait at home.

        ``has_copy`` is whether an upstream of the own domain can run the request and accepts it,
        apart from its load. The cause is set in the attempt if it leaves the domain.
        """
        home: DomainOption | None = None
        away: DomainOption | None = None
        away_cost_s = 0.0
        extra_s: dict[str, float] = {}
        for option in options:
            if option.domain == self._domain:
                if home is None or option.cost_s < home.cost_s:
                    home = option
                continue
            if has_copy and self._is_reserved(job, option.attempt):
                continue
            if option.domain not in extra_s:
                extra_s[option.domain] = self._link_s(job, option.domain)
            cost_s = option.cost_s + extra_s[option.domain]
            if away is None or cost_s < away_cost_s:
                away, away_cost_s = option, cost_s
        if away is None:
            return home.attempt if home is not None else None
        if home is None:
            if has_copy and job.target_at - now - away_cost_s >= PATIENT_SLACK_S:
                return None
            return self._leave(job, away, LeaveCause.FULL if has_copy else LeaveCause.NO_COPY, now)
        slack_s = max(0.0, job.target_at - now - home.cost_s)
        if home.cost_s <= away_cost_s + self._slack_share(job, now) * slack_s:
            return home.attempt
        return self._leave(job, away, LeaveCause.SLOWER if slack_s else LeaveCause.LATE, now)

    def record_answer(self, job: Job, size: int) -> None:
        """Record the size of a complete answer in bytes."""
        name = job.route.name
        mean = self._answer_bytes.get(name, INITIAL_ANSWER_BYTES)
        self._answer_bytes[name] = mean + ANSWER_WEIGHT * (size - mean)

    def _leave(self, job: Job, option: DomainOption, cause: LeaveCause, now: float) -> Attempt:
        option.attempt.leave_cause = cause.value
        if cause is not LeaveCause.NO_COPY:
            self._left_at[job.service, job.model] = now
        return option.attempt

    def _is_reserved(self, job: Job, attempt: Attempt) -> bool:
        """Return whether an upstream of another domain needs its capacity for its own callers."""
        if attempt.load_share > FOREIGN_LOAD_SHARE:
            return True
        # The expected time of a plain upstream includes the run itself, not only a wait.
        wait_s = attempt.expected_s - attempt.prefill_s if job.model else 0.0
        return wait_s > FOREIGN_WAIT_SHARE * job.route.target_latency_s

    def _link_s(self, job: Job, domain: str) -> float:
        is_stream = job.route.kind is RequestKind.STREAM
        awaited_bytes = 0.0 if is_stream else self._expected_answer_bytes(job)
        return self.links.extra_s(domain, job.request_bytes, awaited_bytes)

    def _slack_share(self, job: Job, now: float) -> float:
        size = job.request_bytes + self._expected_answer_bytes(job)
        part = size / (size + HALFWAY_BYTES)
        share = MIN_SLACK_SHARE + (MAX_SLACK_SHARE - MIN_SLACK_SHARE) * part
        left_at = self._left_at.get((job.service, job.model), float("-inf"))
        return share * (HELD_PART if now - left_at < HOLD_S else 1.0)

    def _expected_answer_bytes(self, job: Job) -> float:
        return self._answer_bytes.get(job.route.name, INITIAL_ANSWER_BYTES)
