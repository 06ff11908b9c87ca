"""Decisions on requests that cannot be sent at once: whether to wait, and when to return."""

from dataclasses import dataclass
from random import Random

from ..fleet import UpstreamDirectory
from .actions import RefuseReason
from .fleet_residency import FleetResidency
from .job import Job
from .load_forecast import LoadForecast
from .upstream_selector import INITIAL_PLAIN_LATENCY_S, UpstreamSelector

__all__ = ["RetryAdvice", "WaitPolicy"]

# Retry-After, in seconds, when another node can serve the request: callers retry at another node.
OTHER_NODE_RETRY_AFTER_S = 0.05
# Share of the time until the start deadline that a request may wait for free capacity, or for a
# model or adapter that is not known to be loading. It is then refused with Retry-After, because a
# retry can succeed after that deadline, when a waiting caller would have disconnected.
MAX_WAIT_SHARE = 0.55
# Requests have waited for the engines of a model without a pause for this time, in seconds: the
# engines are overloaded, not just busy for a moment.
OVERLOADED_AFTER_S = 0.5
# Retry-After, in seconds, when only nodes of another failure domain can serve the request: the load
# balancer checks once a second and redirects callers after two failed checks.
OTHER_DOMAIN_RETRY_AFTER_S = 1.0
# Retry-After, in seconds, when no better estimate exists.
DEFAULT_RETRY_AFTER_S = 1.0
# Least Retry-After of a request whose model is being loaded, in seconds.
MIN_RETRY_AFTER_S = 0.05
# Share of their time left up to which callers honour Retry-After.
HONOURED_SHARE = 1.0 / 3.0
# Callers whose model is being loaded are asked to return at random times within this period after
# the load, in seconds, so that they do not all arrive in the same moment.
RETURN_SPREAD_S = 0.2


@dataclass(frozen=True)
class RetryAdvice:
    """Advice to a caller whose request is refused.

    ``retry_after_s`` is the time after which to return, in seconds, or None if that does not help.
    With ``is_demand``, the caller returns for a model or adapter that is missing until then.
    """

    retry_after_s: float | None
    is_demand: bool = False


class WaitPolicy:
    """Decides how long requests wait for an upstream, and when refused ones may return."""

    def __init__(
        self,
        selector: UpstreamSelector,
        directory: UpstreamDirectory,
        residency: FleetResidency,
        rng: Random,
    ) -> None:
        self._selector = selector
        self._directory = directory
        self._residency = residency
        self._rng = rng
        self._forecast = LoadForecast(directory, residency)

    def reason(self, job: Job, now: float) -> RefuseReason:
        """Return why a request cannot be sent now, which is also the reason if it is refused."""
        if not self._directory.of_service(job.service):
            return RefuseReason.NO_UPSTREAM
        if job.model and not self._selector.has_capable_upstream(job, now):
            return RefuseReason.NOT_RESIDENT
        if self._selector.available_at(job, now) > now:
            return RefuseReason.UPSTREAM_LIMIT
        return RefuseReason.NO_CAPACITY

    def is_useless(self, job: Job, queued_since: float, now: float) -> bool:
        """Return whether waiting is useless: the job cannot start by its deadline at this node.

        ``queued_since`` is the time since which requests have waited for the job's model without a
        pause.
        """
        if job.awaits_turn:
            return False
        if job.model and not self._selector.has_capable_upstream(job, now):
            if self._selector.isolated:
                return True
            loaded_at = self._residency.expected_load_time(job.service, job.model)
            if loaded_at is None and _has_waited_too_long(job, now):
                return True
            if loaded_at is not None and loaded_at >= job.start_deadline:
                return self._should_refuse_until(job, loaded_at, now)
            return now + self._min_start_s(job) >= job.start_deadline
        available_at = self._selector.available_at(job, now)
        if available_at > now:
            return self._is_unavailable_too_long(job, available_at, now)
        if job.model and (
            _has_waited_too_long(job, now) or self._is_crowded_out(job, queued_since, now)
        ):
            return True
        return now + self._min_start_s(job) >= job.start_deadline

    def advise(self, job: Job, reason: RefuseReason, now: float, final: bool) -> RetryAdvice:
        """Return when the caller of a refused request may return.

        With ``final``, the caller's deadline has passed or the request can never be served, so that
        only other nodes may help.
        """
        default_s: float | None = None if final else DEFAULT_RETRY_AFTER_S
        if self._selector.isolated:
            default_s = OTHER_DOMAIN_RETRY_AFTER_S
        if reason is RefuseReason.STOPPING:
            return RetryAdvice(OTHER_NODE_RETRY_AFTER_S)
        if final:
            return RetryAdvice(default_s)
        match reason:
            case RefuseReason.NOT_RESIDENT:
                return self._advise_on_missing_model(job, default_s, now)
            case RefuseReason.NO_CAPACITY if job.model:
                loaded_at = self._residency.expected_load_time(job.service, job.model)
                if loaded_at is not None:
                    # A further copy will have capacity.
                    default_s = max(MIN_RETRY_AFTER_S, loaded_at - now)
                return RetryAdvice((default_s or DEFAULT_RETRY_AFTER_S) + self._spread_s())
            case RefuseReason.UPSTREAM_LIMIT | RefuseReason.NOT_RUN_UPSTREAM:
                return self._advise_on_limit(job, default_s, now)
        return RetryAdvice(default_s)

    def _advise_on_missing_model(
        self, job: Job, default_s: float | None, now: float
    ) -> RetryAdvice:
        engine = self._selector.engine(job.service)
        if engine is None:
            return RetryAdvice(default_s)
        ready_at = self._forecast.ready_at(job.service, engine, job.model, now)
        if ready_at is None:
            return RetryAdvice(default_s)
        after_s = max(MIN_RETRY_AFTER_S, ready_at - now) + self._spread_s()
        return RetryAdvice(after_s, is_demand=True)

    def _advise_on_limit(self, job: Job, default_s: float | None, now: float) -> RetryAdvice:
        """Return when a caller may return whose upstreams may accept no requests now.

        A further copy of the job's model may be loaded before they do again.
        """
        available_at = self._selector.available_at(job, now)
        if available_at <= now:
            return RetryAdvice(default_s)
        if job.model:
            loaded_at = self._residency.expected_load_time(job.service, job.model)
            if loaded_at is not None:
                available_at = min(available_at, max(now, loaded_at))
        return RetryAdvice(available_at - now + self._spread_s(), is_demand=True)

    def _spread_s(self) -> float:
        return self._rng.uniform(0.0, RETURN_SPREAD_S)

    def _min_start_s(self, job: Job) -> float:
        """Return the least time in which an upstream begins to answer a job, in seconds."""
        if not job.model:
            return INITIAL_PLAIN_LATENCY_S / 2.0
        return self._selector.slowness.expected_s("", job.model, job.prompt_tokens) / 2.0

    def _is_unavailable_too_long(self, job: Job, available_at: float, now: float) -> bool:
        """Return whether a job's upstreams accept it too late, because they limit or pause."""
        starts_at = available_at + self._min_start_s(job)
        if self._selector.is_limited(job, now):
            # The turns until then are booked by requests that can still be answered in time.
            return starts_at >= job.target_at
        return starts_at >= job.start_deadline and self._should_refuse_until(job, available_at, now)

    def _is_crowded_out(self, job: Job, queued_since: float, now: float) -> bool:
        """Return whether a job misses its target and the engines of its model are overloaded.

        They then serve the requests that can still be answered in time, so that waiting is useless.
        """
        if now - queued_since < OVERLOADED_AFTER_S:
            return False
        return now + self._selector.slowness.expected_s("", job.model, 0.0) >= job.target_at

    def _should_refuse_until(self, job: Job, available_at: float, now: float) -> bool:
        """Return whether to refuse a job now that can be sent after its start deadline only.

        Callers honour Retry-After up to a share of their time left, and then wait as long as
        before. A job is refused as soon as its caller can be served after its return. Until then it
        waits, because the caller would return too early. It is refused at once if no wait helps.
        """
        if _has_waited_too_long(job, now) or available_at >= job.give_up_at:
            return True
        longest_wait_at = _longest_wait_at(job)
        return _can_return(job, available_at, now) or not _can_return(
            job, available_at, longest_wait_at
        )


def _has_waited_too_long(job: Job, now: float) -> bool:
    """Return whether a job has used up its share of the time until its start deadline."""
    return now >= _longest_wait_at(job)


def _longest_wait_at(job: Job) -> float:
    """Return the time until which a job may wait for a model or for capacity."""
    return job.arrived_at + MAX_WAIT_SHARE * (job.start_deadline - job.arrived_at)


def _can_return(job: Job, available_at: float, refused_at: float) -> bool:
    """Return whether a caller that is refused at a given time can be served after its return."""
    honoured_s = HONOURED_SHARE * (job.give_up_at - refused_at)
    returns_at = refused_at + min(honoured_s, max(0.0, available_at - refused_at))
    return available_at < min(job.give_up_at, returns_at + job.start_deadline - job.arrived_at)
