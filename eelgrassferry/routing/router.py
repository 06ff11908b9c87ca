"""The router: every decision on a request's way, without I/O.

Each input takes the time and returns the actions that the node has to carry out, in order.

>>> router = Router(deployment, NodeIdentity("n1", "d1"), Random(1))
>>> router.update_residency("u1", (ResidentCopy("m1", "1"),), UpstreamState.LIVE, now=0.0)
()
>>> router.submit(request, now=0.0)
(Dispatch(request_id='r1', upstream='u1', ...),)
"""

from collections.abc import Iterable, Mapping
from random import Random

from ..settings import Deployment
from .actions import Action, ClaimOutcome, Preempt, StallSeen
from .desk import Desk
from .job import Job
from .messages import (
    CacheEvent,
    FailureKind,
    LoadReport,
    NodeIdentity,
    ResidentCopy,
    RouteRequest,
    UpstreamFailure,
    UpstreamState,
)
from .reasons import RefusalReason
from .snapshot import RouterSnapshot, UpstreamSnapshot

__all__ = ["Router"]

# Time allowed for resuming a stream, or for a crash suspect to get its turn.
RESUME_WITHIN_S = 30.0
SUSPECT_WITHIN_S = 120.0


class Router:
    """Routes the requests of one node."""

    def __init__(self, deployment: Deployment, node: NodeIdentity, rng: Random) -> None:
        self._desk = Desk(deployment, node, rng)
        self._scheduler = self._desk.scheduler
        self._live = {node.name}

    # Requests

    def submit(self, request: RouteRequest, now: float) -> tuple[Action, ...]:
        """Take a new request: dispatch it, queue it, or refuse it."""
        return self._desk.accept(Job(request, now, request.deadline_at), now)

    def note_first_token(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Take the first token of a flight."""
        job = self._desk.jobs.get(request_id)
        if job is None or job.flight is None or job.flight.first_token_at is not None:
            return ()
        self._scheduler.note_first_token(job, job.flight, now)
        return ()

    def note_tokens(self, request_id: str, count: int, now: float) -> tuple[Action, ...]:
        """Take ``count`` more tokens received for a request."""
        job = self._desk.jobs.get(request_id)
        if job is not None and job.flight is not None:
            job.tokens_done += count
            job.version = job.flight.version
            self._scheduler.note_tokens(job.flight, count, now)
        return ()

    def finish(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Take the complete answer to a request."""
        job = self._desk.jobs.get(request_id)
        if job is None or job.flight is None:
            return ()
        upstream = job.flight.upstream
        self._desk.budget.note_success()
        self._scheduler.note_output(job.request.name, job.tokens_done)
        closed = self._desk.close(job, ClaimOutcome.COMPLETED, now)
        return (*closed, *self._desk.pump_upstream(upstream, now))

    def fail(
        self, request_id: str, failure: UpstreamFailure, tokens_received: int, now: float
    ) -> tuple[Action, ...]:
        """Take the end of a flight that did not complete, and retry, resume or refuse.

        ``tokens_received`` counts all tokens passed on to the caller, over all flights.
        """
        job = self._desk.jobs.get(request_id)
        if job is None or job.flight is None:
            return ()
        flight = job.flight
        self._scheduler.land(job, now)
        job.note_failure(failure.kind, failure.upstream, tokens_received, now)
        if job.tokens_done:
            job.deadline_at = max(job.deadline_at, now + RESUME_WITHIN_S)
        outcome = ClaimOutcome.DROPPED
        match failure.kind:
            case FailureKind.CRASHED:
                outcome = ClaimOutcome.CRASHED
                self._scheduler.forget(failure.upstream)
                self._scheduler.pauses.note_crash(failure.upstream, now)
                job.deadline_at = max(job.deadline_at, now + SUSPECT_WITHIN_S)
            case FailureKind.NOT_RUN:
                self._scheduler.pauses.note_refused(failure.upstream, now)
            case FailureKind.NOT_RESIDENT:
                self._scheduler.residency.forget_copy(failure.upstream, job.request.name)
            case _:
                pass
        self._desk.note(job, now, f"{failure.upstream}: {failure.kind.value} {failure.detail}")
        answers = self._desk.isolation.end(job, flight, outcome)
        settled = self._desk.settle(answers, now)
        if failure.kind is FailureKind.PREEMPTED:
            # The place was freed for an urgent request, so the patient one is queued after.
            freed = self._desk.pump_upstream(failure.upstream, now)
            return (*settled, *freed, *self._desk.retry(job, failure, now))
        if failure.kind is FailureKind.TIMEOUT:
            settled = (*settled, *self._take_stall(failure.upstream, now))
        retried = self._desk.retry(job, failure, now)
        return (*settled, *retried, *self._desk.pump_upstream(failure.upstream, now))

    def cancel(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Drop a request whose caller has gone."""
        job = self._desk.jobs.get(request_id)
        if job is None:
            return ()
        upstream = job.flight.upstream if job.flight else ""
        closed = self._desk.close(job, ClaimOutcome.DROPPED, now)
        return (*closed, *self._desk.pump_upstream(upstream, now))

    # Views

    def update_residency(
        self,
        upstream: str,
        residents: tuple[ResidentCopy, ...],
        state: UpstreamState,
        now: float,
    ) -> tuple[Action, ...]:
        """Replace what an upstream holds and its state. Leaving upstreams get no new work."""
        self._scheduler.residency.update(upstream, residents, state)
        match state:
            case UpstreamState.LIVE:
                self._scheduler.pauses.note_live(upstream)
                return self._desk.pump_upstream(upstream, now)
            case UpstreamState.GONE:
                self._scheduler.forget(upstream)
        return ()

    def note_stall(self, upstream: str, now: float) -> tuple[Action, ...]:
        """Take a peer's ``StallSeen``."""
        return tuple(a for a in self._take_stall(upstream, now) if not isinstance(a, StallSeen))

    def _take_stall(self, upstream: str, now: float) -> tuple[Action, ...]:
        """Pause an upstream, and take back what has not got its first token there."""
        stall = self._scheduler.pauses.note_stall(upstream, now)
        if stall is None:
            return ()
        waiting = [
            job
            for job in self._desk.jobs.values()
            if job.flight is not None
            and job.flight.upstream == upstream
            and job.flight.first_token_at is None
            and not job.flight.preempting
            and job.request.repeatable
            and not job.alone
        ]
        for job in waiting:
            job.flight.preempting = True
        taken_back = (Preempt(job.request.request_id, upstream) for job in waiting)
        return (StallSeen(upstream, stall.pause_s), *taken_back)

    def update_load(self, report: LoadReport, now: float) -> tuple[Action, ...]:
        """Take an engine's report of its load."""
        self._scheduler.load.report(report)
        return self._desk.pump_upstream(report.upstream, now)

    def update_peer_dispatches(
        self, node: str, work: Mapping[str, float], now: float
    ) -> tuple[Action, ...]:
        """Replace the number of requests that a peer has at each upstream."""
        self._scheduler.load.set_peer(node, work, now)
        return ()

    def update_cache_events(
        self, upstream: str, events: Iterable[CacheEvent], now: float
    ) -> tuple[Action, ...]:
        """Apply prefix cache events of an engine."""
        self._scheduler.prefix.update(upstream, events)
        return ()

    def update_deployment(self, deployment: Deployment, now: float) -> tuple[Action, ...]:
        """Use another revision of the deployment; waiting requests of removed names are refused."""
        self._scheduler.set_deployment(deployment)
        self._desk.budget.ratio = deployment.site.retry_ratio
        actions: list[Action] = []
        for job in list(self._desk.jobs.values()):
            if job.flight is None and self._scheduler.model(job.request.name) is None:
                reason = RefusalReason.UNKNOWN_MODEL
                actions += self._desk.give_up(job, reason, "removed from the deployment", now)
        return (*actions, *self._desk.pump_all(now))

    def update_nodes(self, nodes: Iterable[str], now: float) -> tuple[Action, ...]:
        """Replace the names of the live nodes, which share the ownership of digests."""
        live = {*nodes, self._desk.node}
        for gone in self._live - live:
            self._scheduler.load.forget_peer(gone)
        self._live = live
        self._scheduler.nodes = len(live)
        self._scheduler.load.peers = len(live) - 1
        return self._desk.settle(self._desk.isolation.set_nodes(live, now), now)

    # Crash isolation between nodes

    def on_claim_granted(self, request_id: str, lane: bool, now: float) -> tuple[Action, ...]:
        """Take a peer's grant of a claim, or of the turn for suspects."""
        return self._desk.grant(request_id, lane, now)

    def on_claim_denied(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Take a peer's answer that the digest is confirmed as crashing."""
        return self._desk.deny(request_id, now)

    def on_claim_unavailable(self, request_id: str, lane: bool, now: float) -> tuple[Action, ...]:
        """Take that the owner of a claim did not answer; this node decides in its place."""
        job = self._desk.jobs.get(request_id)
        if job is None or job.flight is not None:
            return ()
        return self._desk.settle(self._desk.isolation.ask_locally(job, lane), now)

    def on_claim_asked(
        self, node: str, request_id: str, digest: str, lane: bool, now: float
    ) -> tuple[Action, ...]:
        """Take a peer's ``ClaimDigest``. The grant may come with a later input."""
        claims = self._desk.isolation.claims
        if lane:
            return self._desk.settle(claims.ask_lane(node, request_id, digest), now)
        return self._desk.settle(claims.ask(node, request_id, digest), now)

    def on_claim_released(
        self,
        node: str,
        request_id: str,
        digest: str,
        outcome: ClaimOutcome,
        incident: str,
        lane: bool,
        now: float,
    ) -> tuple[Action, ...]:
        """Take a peer's ``ReleaseClaim``."""
        claims = self._desk.isolation.claims
        if lane:
            return self._desk.settle(claims.release_lane(node, request_id, digest), now)
        answers = claims.release(node, request_id, digest, outcome, incident)
        return self._desk.settle(answers, now)

    def on_suspect_learned(
        self, digest: str, incidents: tuple[str, ...], cleared: bool, now: float
    ) -> tuple[Action, ...]:
        """Take a peer's ``ShareSuspect``, or one read from the object API."""
        answers = self._desk.isolation.learn(digest, incidents, cleared)
        actions = self._desk.settle(answers, now)
        for job in list(self._desk.jobs.values()):
            if job.request.digest == digest and job.flight is None:
                self._scheduler.take_out(job)
                actions += self._desk.admit(job, now)
        return actions

    # Time and reports

    def tick(self, now: float) -> tuple[Action, ...]:
        """Refuse what waited too long and place what fits. Call about every 20 ms."""
        expired, placed = self._desk.expire(now), self._desk.pump_all(now)
        admitted = self._desk.admit_unsettled(now)
        return (*expired, *placed, *admitted, *self._desk.repeat_wants(now))

    def explain(self, key: str) -> tuple[str, ...]:
        """Return recent decisions about a request id, or about a model or adapter."""
        return self._desk.explanations.of(key)

    def own_dispatches(self) -> dict[str, float]:
        """Return how many requests this node has in flight at each upstream, for gossip."""
        return self._scheduler.load.own_all()

    def slowness(self, upstream: str, now: float) -> float:
        """Return how many times slower than its settings an upstream is, for the planner."""
        return self._scheduler.speed.slowness(upstream, now)

    def snapshot(self, now: float) -> RouterSnapshot:
        """Return the figures of the status page."""
        scheduler = self._scheduler
        upstreams = {}
        for name, state in sorted(scheduler.residency.states().items()):
            limit = scheduler.limits.get(name)
            upstreams[name] = UpstreamSnapshot(
                state.value,
                scheduler.load.own(name),
                scheduler.load.in_flight(name, now),
                limit.value if limit else 0.0,
                scheduler.speed.slowness(name, now),
                tuple(copy.name for copy in scheduler.residency.residents(name)),
            )
        suspects, confirmed = self._desk.isolation.suspects.counts()
        return RouterSnapshot(
            upstreams,
            {key: queue.size(True) for key, queue in scheduler.queues.items()},
            {key: queue.size(False) for key, queue in scheduler.queues.items()},
            sum(job.flight is not None for job in self._desk.jobs.values()),
            suspects,
            confirmed,
            self._desk.budget.granted,
            self._desk.budget.denied,
        )
