"""Life cycle of the requests of one node.

A job is admitted by crash isolation, dispatched or queued by the scheduler, and closed. Each method
that changes a job returns the resulting actions.
"""

from collections.abc import Iterable, Iterator
from random import Random

from ..settings import Deployment
from .actions import (
    Action,
    ClaimOutcome,
    DenyClaim,
    Dispatch,
    GrantClaim,
    Preempt,
    Refuse,
    ReportDemand,
)
from .budget import RetryBudget
from .crash_isolation import Admission, CrashIsolation
from .decision_log import DecisionLog
from .job import Job
from .messages import FailureKind, NodeIdentity, UpstreamFailure
from .reasons import RefusalReason, RetryDenial
from .scheduler import Scheduler

__all__ = ["RequestHandler"]

MAX_ATTEMPTS = 4
# A stream that was preempted this often is not preempted again.
MAX_PREEMPTIONS = 2
# A request is refused early if its estimate exceeds the remaining time by this factor, because
# estimates err in both directions.
REFUSAL_MARGIN = 1.5
# Minimum interval in seconds between two reports of the same demand to the planner.
DEMAND_INTERVAL_S = 0.5


class RequestHandler:
    """Manager of the jobs of one node."""

    def __init__(self, deployment: Deployment, node: NodeIdentity, rng: Random) -> None:
        self.node = node.name
        self.scheduler = Scheduler(deployment, node, rng)
        self.budget = RetryBudget(deployment.site.retry_ratio)
        self.isolation = CrashIsolation(node.name)
        self.decision_log = DecisionLog()
        self.jobs: dict[str, Job] = {}
        self._waiting_suspects: dict[str, Job] = {}
        self._postponed: dict[str, Job] = {}
        self._demand_reported_at: dict[tuple[str, bool], float] = {}

    def accept(self, job: Job, now: float) -> tuple[Action, ...]:
        """Admit a new job, or refuse it if it cannot be served in time."""
        if self.scheduler.base_model(job.request.name) is None:
            return (self.build_refusal(job, RefusalReason.UNKNOWN_MODEL, "no such model", now),)
        refused = self._refuse_early(job, now)
        if refused:
            return refused
        self.jobs[job.request.request_id] = job
        return self.admit(job, now)

    def admit(self, job: Job, now: float) -> tuple[Action, ...]:
        """Run crash isolation for a job, then dispatch, queue or refuse it."""
        if job.attempt is not None:
            return ()
        self._postponed.pop(job.request.request_id, None)
        admission, answers = self.isolation.admit(job, now)
        actions: tuple[Action, ...] = ()
        match admission:
            case Admission.CONFIRMED:
                detail = "this request brought down upstreams"
                actions = self.refuse(job, RefusalReason.CRASHED_UPSTREAMS, detail, now)
            case Admission.READY if job.alone:
                self._waiting_suspects[job.request.request_id] = job
                actions = tuple(self._dispatch_suspects(now))
            case Admission.READY:
                self.scheduler.queue_of(job).push(job)
                actions = tuple(self._dispatch_waiting([job.queue_key], now))
                if job.queued:
                    actions += self._request_capacity(job, now)
            case Admission.UNSETTLED:
                self._postponed[job.request.request_id] = job
            case Admission.WAITING:
                # The answer to the claim may be among ``answers``.
                pass
        return (*actions, *self.apply_claim_answers(answers, now))

    def apply_claim_answers(self, answers: Iterable[Action], now: float) -> tuple[Action, ...]:
        """Apply grants and denials addressed to this node; return the remaining actions."""
        actions: list[Action] = []
        for answer in answers:
            match answer:
                case GrantClaim(self.node, request_id, _, lane):
                    actions += self.on_claim_granted(request_id, lane, now)
                case DenyClaim(self.node, request_id, _):
                    actions += self.on_claim_denied(request_id, now)
                case _:
                    actions.append(answer)
        return tuple(actions)

    def on_claim_granted(self, request_id: str, lane: bool, now: float) -> tuple[Action, ...]:
        """Record a granted claim, or with ``lane`` the suspect lane, and admit the job."""
        job = self.jobs.get(request_id)
        if job is None or job.attempt is not None or job.queued:
            return ()
        if lane:
            job.in_lane = True
        else:
            job.claimed = True
        return self.admit(job, now)

    def on_claim_denied(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Refuse a job whose digest is confirmed to crash upstreams."""
        job = self.jobs.get(request_id)
        if job is None or job.attempt is not None:
            return ()
        detail = "this request brought down upstreams"
        return self.refuse(job, RefusalReason.CRASHED_UPSTREAMS, detail, now)

    def close(self, job: Job, outcome: ClaimOutcome, now: float) -> tuple[Action, ...]:
        """Remove a job and release its queue entry, reservation, load and claims."""
        self.jobs.pop(job.request.request_id, None)
        self._waiting_suspects.pop(job.request.request_id, None)
        self._postponed.pop(job.request.request_id, None)
        self.scheduler.dequeue(job)
        self.scheduler.release_reservation(job)
        attempt = job.attempt
        self.scheduler.on_attempt_ended(job, now)
        job.attempt = None
        return self.apply_claim_answers(self.isolation.on_run_ended(job, attempt, outcome), now)

    def refuse(
        self,
        job: Job,
        reason: RefusalReason,
        detail: str,
        now: float,
        denial: RetryDenial | None = None,
    ) -> tuple[Action, ...]:
        """Refuse an accepted job and close it."""
        refusal = self.build_refusal(job, reason, detail, now, denial)
        return (refusal, *self.close(job, ClaimOutcome.DROPPED, now))

    def retry(self, job: Job, failure: UpstreamFailure, now: float) -> tuple[Action, ...]:
        """Admit a failed job again, or refuse it if a retry is denied."""
        denial = self._retry_denial(job, failure.kind, now)
        if denial is not None:
            detail = f"{failure.upstream} failed ({failure.kind.value}): {failure.detail}"
            return self.refuse(job, denial.refusal, detail, now, denial)
        return self.admit(job, now)

    def dispatch_waiting_at(self, upstream: str, now: float) -> tuple[Action, ...]:
        """Dispatch jobs that wait for an upstream."""
        if upstream not in self.scheduler.deployment.upstreams:
            return ()
        suspects = list(self._dispatch_suspects(now))
        sent = list(self._log_dispatches(self.scheduler.dispatch_waiting_at(upstream, now), now))
        return (*suspects, *sent)

    def dispatch_all_waiting(self, now: float) -> tuple[Action, ...]:
        """Dispatch waiting jobs to any upstream with free slots."""
        suspects = list(self._dispatch_suspects(now))
        return (*suspects, *self._dispatch_waiting(list(self.scheduler.queues), now))

    def expire(self, now: float) -> tuple[Action, ...]:
        """Refuse jobs whose deadline has passed before they were dispatched."""
        late = [job for job in self._waiting_suspects.values() if job.deadline_at < now]
        for queue in list(self.scheduler.queues.values()):
            late += queue.pop_expired(now)
        late += [
            job
            for job in self.jobs.values()
            if job.deadline_at < now and job.attempt is None and not job.queued and job not in late
        ]
        actions: list[Action] = []
        for job in late:
            pinned = job.version if job.tokens_done else None
            name = job.request.name
            if self.scheduler.residency.placements(name, pinned):
                reason, detail = RefusalReason.DEADLINE_PASSED, "waited past its deadline"
            elif pinned is not None:
                reason = RefusalReason.VERSION_GONE
                detail = f"version {pinned} is not resident any more"
            else:
                reason, detail = RefusalReason.NOT_RESIDENT, "not resident in time"
            actions += self.refuse(job, reason, detail, now)
        return tuple(actions)

    def admit_postponed(self, now: float) -> tuple[Action, ...]:
        """Admit the suspects postponed until the membership of the nodes settles."""
        if not self._postponed or not self.isolation.is_membership_settled(now):
            return ()
        return tuple(
            action for job in list(self._postponed.values()) for action in self.admit(job, now)
        )

    def repeat_demand(self, now: float) -> tuple[Action, ...]:
        """Report demand for missing models again, since a message to the planner can be lost."""
        actions: tuple[Action, ...] = ()
        for queue in self.scheduler.queues.values():
            job = queue.peek()
            if job is not None and not self.scheduler.residency.placements(job.request.name):
                actions += self._report_demand(job, now)
        return actions

    def build_refusal(
        self,
        job: Job,
        reason: RefusalReason,
        detail: str,
        now: float,
        denial: RetryDenial | None = None,
    ) -> Refuse:
        """Return the refusal of a job and record it in the decision log."""
        request = job.request
        self.log_decision(job, now, f"refused {reason.value}: {detail}")
        retry_after_s = None
        match reason:
            case RefusalReason.QUEUE_FULL | RefusalReason.DEADLINE_UNREACHABLE:
                candidates = self.scheduler.candidates(job, now)
                retry_after_s = max(1.0, self.scheduler.estimate_wait_s(job, candidates))
            case RefusalReason.NOT_RESIDENT:
                retry_after_s = 2.0 / self.scheduler.deployment.store.loads_per_s
            case RefusalReason.RETRY_BUDGET_EMPTY:
                retry_after_s = 1.0
        return Refuse(
            request.request_id, reason, reason.status, detail, job.ran, retry_after_s, denial
        )

    def log_decision(self, job: Job, now: float, text: str) -> None:
        """Record a decision on a job for operators."""
        self.decision_log.record(job.request.request_id, job.request.name, now, text)

    def _refuse_early(self, job: Job, now: float) -> tuple[Action, ...]:
        request = job.request
        queue = self.scheduler.queues.get(request.name)
        if queue is not None and queue.is_full(request.urgent):
            detail = f"{queue.size(request.urgent)} requests wait already"
            return (self.build_refusal(job, RefusalReason.QUEUE_FULL, detail, now),)
        candidates = self.scheduler.candidates(job, now)
        remaining_s = job.deadline_at - now
        if not candidates:
            demand = self._report_demand(job, now)
            if remaining_s < 1.0 / self.scheduler.deployment.store.loads_per_s:
                detail = "no live upstream holds the model"
                return (*demand, self.build_refusal(job, RefusalReason.NOT_RESIDENT, detail, now))
            return ()
        estimate_s = min(c.estimate_s for c in candidates) + self.scheduler.estimate_wait_s(
            job, candidates
        )
        if estimate_s > REFUSAL_MARGIN * remaining_s:
            detail = f"first token expected in {estimate_s:.3f} s, due in {remaining_s:.3f} s"
            refusal = self.build_refusal(job, RefusalReason.DEADLINE_UNREACHABLE, detail, now)
            return (*self._report_demand(job, now), refusal)
        return ()

    def _retry_denial(self, job: Job, kind: FailureKind, now: float) -> RetryDenial | None:
        not_run = kind in (FailureKind.NOT_RUN, FailureKind.NOT_RESIDENT)
        if not job.request.repeatable and not not_run:
            return RetryDenial.NOT_REPEATABLE
        if kind is FailureKind.PREEMPTED:
            return None
        if job.failed_attempts >= MAX_ATTEMPTS:
            return RetryDenial.TOO_MANY_ATTEMPTS
        if job.deadline_at <= now:
            return RetryDenial.DEADLINE_PASSED
        # Neither kind draws on the budget. Requests that ran beside a crashing one must be served
        # (I10), and the incident count bounds the retries of the crashing one. NOT_RESIDENT comes
        # from a stale residency view of this node and puts no load on the engine.
        if kind in (FailureKind.CRASHED, FailureKind.NOT_RESIDENT):
            return None
        return None if self.budget.take(now) else RetryDenial.BUDGET_EMPTY

    def _report_demand(self, job: Job, now: float) -> tuple[Action, ...]:
        request = job.request
        key = (request.name, request.urgent)
        if now - self._demand_reported_at.get(key, -DEMAND_INTERVAL_S) < DEMAND_INTERVAL_S:
            return ()
        self._demand_reported_at[key] = now
        deployment = self.scheduler.deployment
        settings = deployment.models.get(request.name) or deployment.adapters[request.name]
        return (ReportDemand(request.name, settings.version, request.urgent),)

    def _request_capacity(self, job: Job, now: float) -> tuple[Action, ...]:
        """Report demand and, for an urgent job, preempt one patient stream of this node."""
        demand = self._report_demand(job, now)
        if not job.request.urgent:
            return demand
        upstreams = {c.upstream for c in self.scheduler.candidates(job, now)}
        streams = [
            (candidate, candidate.attempt)
            for candidate in self.jobs.values()
            if candidate.attempt is not None
            and candidate.attempt.upstream in upstreams
            and not candidate.request.urgent
            and not candidate.alone
            and candidate.request.repeatable
        ]
        preempting_count = sum(attempt.preempting for _, attempt in streams)
        if preempting_count >= self.scheduler.queue_of(job).size(True):
            return demand
        preemptible = [
            (candidate, attempt)
            for candidate, attempt in streams
            if not attempt.preempting and candidate.preemptions < MAX_PREEMPTIONS
        ]
        if not preemptible:
            return demand
        # The stream dispatched last has the least work to repeat.
        candidate, attempt = max(preemptible, key=lambda pair: pair[1].sent_at)
        attempt.preempting = True
        self.log_decision(
            candidate, now, f"preempted at {attempt.upstream} for {job.request.request_id}"
        )
        return (*demand, Preempt(candidate.request.request_id, attempt.upstream))

    def _dispatch_waiting(self, keys: Iterable[str], now: float) -> Iterator[Action]:
        yield from self._log_dispatches(self.scheduler.dispatch_waiting(keys, now), now)

    def _log_dispatches(self, dispatches: Iterable[Dispatch], now: float) -> Iterator[Action]:
        for dispatch in dispatches:
            job = self.jobs[dispatch.request_id]
            self.log_decision(job, now, dispatch.explanation)
            yield dispatch

    def _dispatch_suspects(self, now: float) -> Iterator[Action]:
        for request_id, job in list(self._waiting_suspects.items()):
            dispatch = self.scheduler.try_dispatch(job, now)
            if dispatch is not None:
                del self._waiting_suspects[request_id]
                yield from self._log_dispatches((dispatch,), now)
