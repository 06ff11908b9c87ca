"""The requests that a node holds, and the steps that take them from one state to the next.

A job is admitted (crash isolation), placed or queued (scheduler), and closed. Every step returns
the actions it led to.
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
    WantModel,
)
from .budget import RetryBudget
from .explain import Explanations
from .isolation import Admission, Isolation
from .job import Job
from .messages import FailureKind, NodeIdentity, UpstreamFailure
from .reasons import RefusalReason, RetryDenial
from .scheduler import Scheduler

__all__ = ["Desk"]

MAX_ATTEMPTS = 4
# A stream that was preempted this often runs to its end.
MAX_PREEMPTIONS = 2
# Early refusal needs the estimate to miss the deadline by this factor of the time left, because
# estimates err in both directions.
REFUSAL_MARGIN = 1.5
WANT_EVERY_S = 0.5


class Desk:
    """Holds the jobs of one node."""

    def __init__(self, deployment: Deployment, node: NodeIdentity, rng: Random) -> None:
        self.node = node.name
        self.scheduler = Scheduler(deployment, node, rng)
        self.budget = RetryBudget(deployment.site.retry_ratio)
        self.isolation = Isolation(node.name)
        self.explanations = Explanations()
        self.jobs: dict[str, Job] = {}
        self._lone: dict[str, Job] = {}
        self._unsettled: dict[str, Job] = {}
        self._wanted_at: dict[tuple[str, bool], float] = {}

    def accept(self, job: Job, now: float) -> tuple[Action, ...]:
        """Take a new job, or refuse it at once where it cannot be served in time."""
        if self.scheduler.model(job.request.name) is None:
            return (self.refusal(job, RefusalReason.UNKNOWN_MODEL, "no such model", now),)
        refused = self._refuse_early(job, now)
        if refused:
            return refused
        self.jobs[job.request.request_id] = job
        return self.admit(job, now)

    def admit(self, job: Job, now: float) -> tuple[Action, ...]:
        """Take a job past crash isolation and place or queue it."""
        if job.flight is not None:
            return ()
        self._unsettled.pop(job.request.request_id, None)
        admission, answers = self.isolation.admit(job, now)
        actions: tuple[Action, ...] = ()
        match admission:
            case Admission.CONFIRMED:
                detail = "this request brought down upstreams"
                actions = self.give_up(job, RefusalReason.CRASHED_UPSTREAMS, detail, now)
            case Admission.READY if job.alone:
                self._lone[job.request.request_id] = job
                actions = tuple(self._place_lone(now))
            case Admission.READY:
                self.scheduler.queue(job).push(job)
                actions = tuple(self._pump([job.queue_key], now))
                if job.queued:
                    actions += self._make_room(job, now)
            case Admission.UNSETTLED:
                self._unsettled[job.request.request_id] = job
            case Admission.WAITING:
                # Waits for a claim; the answer may be among ``answers``.
                pass
        return (*actions, *self.settle(answers, now))

    def settle(self, answers: Iterable[Action], now: float) -> tuple[Action, ...]:
        """Apply the grants and denials that are for this node; pass the other actions on."""
        actions: list[Action] = []
        for answer in answers:
            match answer:
                case GrantClaim(self.node, request_id, _, lane):
                    actions += self.grant(request_id, lane, now)
                case DenyClaim(self.node, request_id, _):
                    actions += self.deny(request_id, now)
                case _:
                    actions.append(answer)
        return tuple(actions)

    def grant(self, request_id: str, lane: bool, now: float) -> tuple[Action, ...]:
        """Take a granted claim, or the granted turn for suspects."""
        job = self.jobs.get(request_id)
        if job is None or job.flight is not None or job.queued:
            return ()
        if lane:
            job.in_lane = True
        else:
            job.claimed = True
        return self.admit(job, now)

    def deny(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Take that a digest is confirmed as crashing."""
        job = self.jobs.get(request_id)
        if job is None or job.flight is not None:
            return ()
        detail = "this request brought down upstreams"
        return self.give_up(job, RefusalReason.CRASHED_UPSTREAMS, detail, now)

    def close(self, job: Job, outcome: ClaimOutcome, now: float) -> tuple[Action, ...]:
        """Forget a job and release what it holds."""
        self.jobs.pop(job.request.request_id, None)
        self._lone.pop(job.request.request_id, None)
        self._unsettled.pop(job.request.request_id, None)
        self.scheduler.take_out(job)
        self.scheduler.release(job)
        flight = job.flight
        self.scheduler.land(job, now)
        job.flight = None
        return self.settle(self.isolation.end(job, flight, outcome), now)

    def give_up(
        self,
        job: Job,
        reason: RefusalReason,
        detail: str,
        now: float,
        denial: RetryDenial | None = None,
    ) -> tuple[Action, ...]:
        """Refuse a job that the node holds."""
        refusal = self.refusal(job, reason, detail, now, denial)
        return (refusal, *self.close(job, ClaimOutcome.DROPPED, now))

    def retry(self, job: Job, failure: UpstreamFailure, now: float) -> tuple[Action, ...]:
        """Send a failed job on its way again, or refuse it."""
        denial = self._denial(job, failure.kind, now)
        if denial is not None:
            detail = f"{failure.upstream} failed ({failure.kind.value}): {failure.detail}"
            return self.give_up(job, denial.refusal, detail, now, denial)
        return self.admit(job, now)

    def pump_upstream(self, upstream: str, now: float) -> tuple[Action, ...]:
        """Place what waits for an upstream."""
        if upstream not in self.scheduler.deployment.upstreams:
            return ()
        lone = list(self._place_lone(now))
        sent = list(self._noted(self.scheduler.pump_upstream(upstream, now), now))
        return (*lone, *sent)

    def pump_all(self, now: float) -> tuple[Action, ...]:
        """Place everything that fits anywhere."""
        lone = list(self._place_lone(now))
        return (*lone, *self._pump(list(self.scheduler.queues), now))

    def expire(self, now: float) -> tuple[Action, ...]:
        """Refuse what has waited past its deadline."""
        late = [job for job in self._lone.values() if job.deadline_at < now]
        for queue in list(self.scheduler.queues.values()):
            late += queue.expired(now)
        late += [
            job
            for job in self.jobs.values()
            if job.deadline_at < now and job.flight is None and not job.queued and job not in late
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
            actions += self.give_up(job, reason, detail, now)
        return tuple(actions)

    def admit_unsettled(self, now: float) -> tuple[Action, ...]:
        """Admit the suspects that waited for the nodes to agree on each other."""
        if not self._unsettled or not self.isolation.is_settled(now):
            return ()
        return tuple(
            action for job in list(self._unsettled.values()) for action in self.admit(job, now)
        )

    def repeat_wants(self, now: float) -> tuple[Action, ...]:
        """Ask again for what queued jobs wait for, since a request to the planner can be lost."""
        actions: tuple[Action, ...] = ()
        for queue in self.scheduler.queues.values():
            job = queue.next()
            if job is not None and not self.scheduler.residency.placements(job.request.name):
                actions += self._want(job, now)
        return actions

    def refusal(
        self,
        job: Job,
        reason: RefusalReason,
        detail: str,
        now: float,
        denial: RetryDenial | None = None,
    ) -> Refuse:
        """Return the refusal of a job, and note it for operators."""
        request = job.request
        self.note(job, now, f"refused {reason.value}: {detail}")
        retry_after_s = None
        match reason:
            case RefusalReason.QUEUE_FULL | RefusalReason.DEADLINE_UNREACHABLE:
                known = self.scheduler.candidates(job, now)
                retry_after_s = max(1.0, self.scheduler.wait_s(job, known))
            case RefusalReason.NOT_RESIDENT:
                retry_after_s = 2.0 / self.scheduler.deployment.store.loads_per_s
            case RefusalReason.RETRY_BUDGET_EMPTY:
                retry_after_s = 1.0
        return Refuse(
            request.request_id, reason, reason.status, detail, job.ran, retry_after_s, denial
        )

    def note(self, job: Job, now: float, text: str) -> None:
        """Record a decision for operators."""
        self.explanations.note(job.request.request_id, job.request.name, now, text)

    def _refuse_early(self, job: Job, now: float) -> tuple[Action, ...]:
        request = job.request
        queue = self.scheduler.queues.get(request.name)
        if queue is not None and queue.is_full(request.urgent):
            detail = f"{queue.size(request.urgent)} requests wait already"
            return (self.refusal(job, RefusalReason.QUEUE_FULL, detail, now),)
        known = self.scheduler.candidates(job, now)
        left_s = job.deadline_at - now
        if not known:
            want = self._want(job, now)
            if left_s < 1.0 / self.scheduler.deployment.store.loads_per_s:
                detail = "no live upstream holds the model"
                return (*want, self.refusal(job, RefusalReason.NOT_RESIDENT, detail, now))
            return ()
        estimate_s = min(c.estimate_s for c in known) + self.scheduler.wait_s(job, known)
        if estimate_s > REFUSAL_MARGIN * left_s:
            detail = f"first token expected in {estimate_s:.3f} s, due in {left_s:.3f} s"
            refusal = self.refusal(job, RefusalReason.DEADLINE_UNREACHABLE, detail, now)
            return (*self._want(job, now), refusal)
        return ()

    def _denial(self, job: Job, kind: FailureKind, now: float) -> RetryDenial | None:
        not_run = kind in (FailureKind.NOT_RUN, FailureKind.NOT_RESIDENT)
        if not job.request.repeatable and not not_run:
            return RetryDenial.NOT_REPEATABLE
        if kind is FailureKind.PREEMPTED:
            return None
        if job.attempts >= MAX_ATTEMPTS:
            return RetryDenial.TOO_MANY_ATTEMPTS
        if job.deadline_at <= now:
            return RetryDenial.DEADLINE_PASSED
        # Requests that ran beside a crashing one are served whatever the budget says (I10), and
        # the incident count bounds the retries of the crashing one. A view that was out of date
        # is this node's own error and puts no load on the engine.
        if kind in (FailureKind.CRASHED, FailureKind.NOT_RESIDENT):
            return None
        return None if self.budget.take(now) else RetryDenial.BUDGET_EMPTY

    def _want(self, job: Job, now: float) -> tuple[Action, ...]:
        request = job.request
        key = (request.name, request.urgent)
        if now - self._wanted_at.get(key, -WANT_EVERY_S) < WANT_EVERY_S:
            return ()
        self._wanted_at[key] = now
        deployment = self.scheduler.deployment
        settings = deployment.models.get(request.name) or deployment.adapters[request.name]
        return (WantModel(request.name, settings.version, request.urgent),)

    def _make_room(self, job: Job, now: float) -> tuple[Action, ...]:
        """Ask for a copy, and preempt one patient stream of this node for an urgent job."""
        want = self._want(job, now)
        if not job.request.urgent:
            return want
        upstreams = {c.upstream for c in self.scheduler.candidates(job, now)}
        streams = [
            (held, held.flight)
            for held in self.jobs.values()
            if held.flight is not None
            and held.flight.upstream in upstreams
            and not held.request.urgent
            and not held.alone
            and held.request.repeatable
        ]
        freeing = sum(flight.preempting for _, flight in streams)
        if freeing >= self.scheduler.queue(job).size(True):
            return want
        open_to = [
            (held, flight)
            for held, flight in streams
            if not flight.preempting and held.preemptions < MAX_PREEMPTIONS
        ]
        if not open_to:
            return want
        # The stream sent last has the least work to repeat.
        held, flight = max(open_to, key=lambda pair: pair[1].sent_at)
        flight.preempting = True
        self.note(held, now, f"preempted at {flight.upstream} for {job.request.request_id}")
        return (*want, Preempt(held.request.request_id, flight.upstream))

    def _pump(self, keys: Iterable[str], now: float) -> Iterator[Action]:
        yield from self._noted(self.scheduler.pump(keys, now), now)

    def _noted(self, dispatches: Iterable[Dispatch], now: float) -> Iterator[Action]:
        for dispatch in dispatches:
            job = self.jobs[dispatch.request_id]
            self.note(job, now, dispatch.explanation)
            yield dispatch

    def _place_lone(self, now: float) -> Iterator[Action]:
        for request_id, job in list(self._lone.items()):
            dispatch = self.scheduler.place(job, now)
            if dispatch is not None:
                del self._lone[request_id]
                yield from self._noted((dispatch,), now)
