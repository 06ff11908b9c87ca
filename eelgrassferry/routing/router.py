"""The router, a state machine without I/O that decides how each request is routed.

Every input method takes the current time and returns the actions that the node has to perform, in
order.

>>> router = Router(deployment, NodeIdentity("n1", "d1"), Random(1))
>>> router.update_residency("u1", (ResidentCopy("m1", "1"),), UpstreamState.LIVE, now=0.0)
()
>>> router.submit(request, now=0.0)
(Dispatch(request_id='r1', upstream='u1', ...),)
"""

from collections.abc import Iterable, Mapping
from random import Random

from ..settings import Deployment
from .actions import Action, ClaimOutcome, Preempt, StallDetected
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
from .request_handler import RequestHandler
from .snapshot import RouterSnapshot, UpstreamSnapshot

__all__ = ["Router"]

# Minimum time in seconds until the deadline after a failure: for resuming a stream, and for a crash
# suspect to get the suspect lane.
RESUME_TIMEOUT_S = 30.0
SUSPECT_TIMEOUT_S = 120.0


class Router:
    """State machine that routes the requests of one node. Times are in seconds."""

    def __init__(self, deployment: Deployment, node: NodeIdentity, rng: Random) -> None:
        self._handler = RequestHandler(deployment, node, rng)
        self._scheduler = self._handler.scheduler
        self._live = {node.name}

    # Requests

    def submit(self, request: RouteRequest, now: float) -> tuple[Action, ...]:
        """Dispatch, queue or refuse a new request."""
        return self._handler.accept(Job(request, now, request.deadline_at), now)

    def record_first_token(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Record the time to the first token of an attempt."""
        job = self._handler.jobs.get(request_id)
        if job is None or job.attempt is None or job.attempt.first_token_at is not None:
            return ()
        self._scheduler.record_first_token(job, job.attempt, now)
        return ()

    def record_tokens(self, request_id: str, count: int, now: float) -> tuple[Action, ...]:
        """Record ``count`` further tokens received for a request."""
        job = self._handler.jobs.get(request_id)
        if job is not None and job.attempt is not None:
            job.tokens_done += count
            job.version = job.attempt.version
            self._scheduler.record_tokens(job.attempt, count, now)
        return ()

    def finish(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Close a request that was answered completely."""
        job = self._handler.jobs.get(request_id)
        if job is None or job.attempt is None:
            return ()
        upstream = job.attempt.upstream
        self._handler.budget.record_success()
        self._scheduler.record_output_length(job.request.name, job.tokens_done)
        close_actions = self._handler.close(job, ClaimOutcome.COMPLETED, now)
        return (*close_actions, *self._handler.dispatch_waiting_at(upstream, now))

    def fail(
        self, request_id: str, failure: UpstreamFailure, tokens_received: int, now: float
    ) -> tuple[Action, ...]:
        """End a failed attempt, and retry, resume or refuse the request.

        ``tokens_received`` is the number of tokens passed on to the caller over all attempts.
        """
        job = self._handler.jobs.get(request_id)
        if job is None or job.attempt is None:
            return ()
        attempt = job.attempt
        self._scheduler.on_attempt_ended(job, now)
        job.record_failure(failure.kind, failure.upstream, tokens_received, now)
        if job.tokens_done:
            job.deadline_at = max(job.deadline_at, now + RESUME_TIMEOUT_S)
        outcome = ClaimOutcome.DROPPED
        match failure.kind:
            case FailureKind.CRASHED:
                outcome = ClaimOutcome.CRASHED
                self._scheduler.remove_upstream(failure.upstream)
                self._scheduler.backoffs.record_crash(failure.upstream, now)
                job.deadline_at = max(job.deadline_at, now + SUSPECT_TIMEOUT_S)
            case FailureKind.NOT_RUN:
                self._scheduler.backoffs.record_refusal(failure.upstream, now)
            case FailureKind.NOT_RESIDENT:
                self._scheduler.residency.remove_copy(failure.upstream, job.request.name)
            case _:
                pass
        self._handler.log_decision(
            job, now, f"{failure.upstream}: {failure.kind.value} {failure.detail}"
        )
        answers = self._handler.isolation.on_run_ended(job, attempt, outcome)
        claim_actions = self._handler.apply_claim_answers(answers, now)
        if failure.kind is FailureKind.PREEMPTED:
            # The slot was freed for an urgent request, so that one is dispatched before the
            # preempted request is queued again.
            dispatched = self._handler.dispatch_waiting_at(failure.upstream, now)
            return (*claim_actions, *dispatched, *self._handler.retry(job, failure, now))
        if failure.kind is FailureKind.TIMEOUT:
            claim_actions = (*claim_actions, *self._apply_stall(failure.upstream, now))
        retried = self._handler.retry(job, failure, now)
        return (*claim_actions, *retried, *self._handler.dispatch_waiting_at(failure.upstream, now))

    def cancel(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Close a request whose caller disconnected."""
        job = self._handler.jobs.get(request_id)
        if job is None:
            return ()
        upstream = job.attempt.upstream if job.attempt else ""
        close_actions = self._handler.close(job, ClaimOutcome.DROPPED, now)
        return (*close_actions, *self._handler.dispatch_waiting_at(upstream, now))

    # Views

    def update_residency(
        self,
        upstream: str,
        residents: tuple[ResidentCopy, ...],
        state: UpstreamState,
        now: float,
    ) -> tuple[Action, ...]:
        """Replace the resident copies and the state of an upstream.

        Leaving upstreams get no new requests.
        """
        self._scheduler.residency.update(upstream, residents, state)
        match state:
            case UpstreamState.LIVE:
                self._scheduler.backoffs.record_live(upstream)
                return self._handler.dispatch_waiting_at(upstream, now)
            case UpstreamState.GONE:
                self._scheduler.remove_upstream(upstream)
        return ()

    def on_stall(self, upstream: str, now: float) -> tuple[Action, ...]:
        """Apply the ``StallDetected`` of a peer."""
        return tuple(
            a for a in self._apply_stall(upstream, now) if not isinstance(a, StallDetected)
        )

    def _apply_stall(self, upstream: str, now: float) -> tuple[Action, ...]:
        """Back off from a stalled upstream and preempt its requests without a first token.

        Only repeatable requests that are not suspects are preempted.
        """
        stall = self._scheduler.backoffs.record_stall(upstream, now)
        if stall is None:
            return ()
        waiting = [
            job
            for job in self._handler.jobs.values()
            if job.attempt is not None
            and job.attempt.upstream == upstream
            and job.attempt.first_token_at is None
            and not job.attempt.preempting
            and job.request.repeatable
            and not job.alone
        ]
        for job in waiting:
            job.attempt.preempting = True
        preemptions = (Preempt(job.request.request_id, upstream) for job in waiting)
        return (StallDetected(upstream, stall.backoff_s), *preemptions)

    def update_load(self, report: LoadReport, now: float) -> tuple[Action, ...]:
        """Apply a load report of an engine."""
        self._scheduler.load.update_report(report)
        return self._handler.dispatch_waiting_at(report.upstream, now)

    def update_peer_dispatches(
        self, node: str, counts: Mapping[str, float], now: float
    ) -> tuple[Action, ...]:
        """Replace the number of in-flight requests of a peer at each upstream."""
        self._scheduler.load.update_peer(node, counts, now)
        return ()

    def update_cache_events(
        self, upstream: str, events: Iterable[CacheEvent], now: float
    ) -> tuple[Action, ...]:
        """Apply the prefix cache events of an engine."""
        self._scheduler.prefix.update(upstream, events)
        return ()

    def update_deployment(self, deployment: Deployment, now: float) -> tuple[Action, ...]:
        """Replace the deployment and refuse waiting requests for removed models and adapters."""
        self._scheduler.set_deployment(deployment)
        self._handler.budget.ratio = deployment.site.retry_ratio
        actions: list[Action] = []
        for job in list(self._handler.jobs.values()):
            if job.attempt is None and self._scheduler.base_model(job.request.name) is None:
                reason = RefusalReason.UNKNOWN_MODEL
                actions += self._handler.refuse(job, reason, "removed from the deployment", now)
        return (*actions, *self._handler.dispatch_all_waiting(now))

    def update_nodes(self, nodes: Iterable[str], now: float) -> tuple[Action, ...]:
        """Replace the set of live nodes, over which the ownership of digests is distributed."""
        live = {*nodes, self._handler.node}
        for removed in self._live - live:
            self._scheduler.load.remove_peer(removed)
        self._live = live
        self._scheduler.node_count = len(live)
        self._scheduler.load.peer_count = len(live) - 1
        return self._handler.apply_claim_answers(self._handler.isolation.set_nodes(live, now), now)

    # Crash isolation between nodes

    def on_claim_granted(self, request_id: str, lane: bool, now: float) -> tuple[Action, ...]:
        """Apply a claim granted by a peer; with ``lane``, the suspect lane."""
        return self._handler.on_claim_granted(request_id, lane, now)

    def on_claim_denied(self, request_id: str, now: float) -> tuple[Action, ...]:
        """Refuse a request whose digest a peer reports as confirmed to crash upstreams."""
        return self._handler.on_claim_denied(request_id, now)

    def on_claim_unavailable(self, request_id: str, lane: bool, now: float) -> tuple[Action, ...]:
        """Decide a claim locally after its owner did not answer."""
        job = self._handler.jobs.get(request_id)
        if job is None or job.attempt is not None:
            return ()
        return self._handler.apply_claim_answers(
            self._handler.isolation.decide_locally(job, lane), now
        )

    def on_claim_asked(
        self, node: str, request_id: str, digest: str, lane: bool, now: float
    ) -> tuple[Action, ...]:
        """Handle a peer's ``ClaimDigest``.

        The grant may be returned by a later input.
        """
        claims = self._handler.isolation.claims
        if lane:
            return self._handler.apply_claim_answers(
                claims.request_lane(node, request_id, digest), now
            )
        return self._handler.apply_claim_answers(claims.request(node, request_id, digest), now)

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
        """Handle a peer's ``ReleaseClaim``."""
        claims = self._handler.isolation.claims
        if lane:
            return self._handler.apply_claim_answers(
                claims.release_lane(node, request_id, digest), now
            )
        answers = claims.release(node, request_id, digest, outcome, incident)
        return self._handler.apply_claim_answers(answers, now)

    def on_suspect_learned(
        self, digest: str, incidents: tuple[str, ...], cleared: bool, now: float
    ) -> tuple[Action, ...]:
        """Apply a ``ShareSuspect`` of a peer, or one read from the object API."""
        answers = self._handler.isolation.merge_incidents(digest, incidents, cleared)
        actions = self._handler.apply_claim_answers(answers, now)
        for job in list(self._handler.jobs.values()):
            if job.request.digest == digest and job.attempt is None:
                self._scheduler.dequeue(job)
                actions += self._handler.admit(job, now)
        return actions

    # Time and reports

    def tick(self, now: float) -> tuple[Action, ...]:
        """Refuse expired requests and dispatch waiting ones. Call about every 20 ms."""
        expired, dispatched = self._handler.expire(now), self._handler.dispatch_all_waiting(now)
        admitted = self._handler.admit_postponed(now)
        return (*expired, *dispatched, *admitted, *self._handler.repeat_demand(now))

    def explain(self, key: str) -> tuple[str, ...]:
        """Return the recent decisions on a request id, a model or an adapter."""
        return self._handler.decision_log.lines(key)

    def own_dispatches(self) -> dict[str, float]:
        """Return the number of this node's requests in flight at each upstream, for gossip."""
        return self._scheduler.load.own_counts()

    def slowness(self, upstream: str, now: float) -> float:
        """Return the slowness factor of an upstream relative to its settings, for the planner."""
        return self._scheduler.slowness.overall_factor(upstream, now)

    def snapshot(self, now: float) -> RouterSnapshot:
        """Return the state shown on the status page."""
        scheduler = self._scheduler
        upstreams = {}
        for name, state in sorted(scheduler.residency.states().items()):
            limit = scheduler.limits.get(name)
            upstreams[name] = UpstreamSnapshot(
                state.value,
                scheduler.load.own_count(name),
                scheduler.load.in_flight(name, now),
                limit.value if limit else 0.0,
                scheduler.slowness.overall_factor(name, now),
                tuple(copy.name for copy in scheduler.residency.residents(name)),
            )
        suspects, confirmed = self._handler.isolation.suspects.counts()
        return RouterSnapshot(
            upstreams,
            {key: queue.size(True) for key, queue in scheduler.queues.items()},
            {key: queue.size(False) for key, queue in scheduler.queues.items()},
            sum(job.attempt is not None for job in self._handler.jobs.values()),
            suspects,
            confirmed,
            self._handler.budget.granted,
            self._handler.budget.denied,
        )
