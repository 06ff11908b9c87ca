"""Scheduling of requests to upstreams: dispatch, queueing, retries, refusals and deadlines.

The module does no I/O. Every event handler takes the current time in seconds and returns the
actions that the driver has to carry out.
"""

from bisect import insort
from collections.abc import Callable, Mapping
from random import Random

from ..fleet import (
    FleetConfig,
    ServiceBounds,
    UpstreamDirectory,
    UpstreamEntry,
    UpstreamNotice,
)
from ..routing import RetryBudget
from ..tenants import FairShares
from .actions import (
    Abandon,
    Action,
    AttemptFailure,
    Fail,
    FailReason,
    ForwardAnswer,
    Probe,
    Refuse,
    RefuseReason,
    Send,
)
from .crash_analyzer import CrashAnalyzer
from .fleet_residency import FleetResidency
from .job import Attempt, Job
from .load_view import UpstreamLoad
from .slowness_sample import SlownessSample
from .upstream_notices import UpstreamNotices
from .upstream_selector import UpstreamSelector
from .upstream_turns import UpstreamTurns
from .wait_policy import WaitPolicy

__all__ = ["Dispatcher"]

# Share of the system-wide retry budget that the nodes divide among themselves. The rest is reserved
# for an uneven distribution of the traffic over the nodes.
RETRY_BUDGET_SHARE = 0.7
# Number of further upstreams that are tried after the first one has declined a request.
MAX_DECLINED_ATTEMPTS = 3
# Share of the time left to a repeatable request after which an upstream that has not answered is
# given up.
SILENCE_TIMEOUT_SHARE = 0.4
# Expected wait at an upstream, in seconds, up to which a request is always sent: the time to
# prefill about one prompt.
ALWAYS_ADMITTED_WAIT_S = 0.15
# A caller that was refused because of a missing model counts as demand until this time after its
# Retry-After, in seconds.
RETURN_SLACK_S = 0.3

# Requests that wait longer than this for upstreams which limit their rate count as demand for
# further copies and adapters elsewhere, in seconds.
MAX_TURN_WAIT_S = 0.1

# Limit of the slowness samples in one status message to the coordinator, which bounds the size of
# the message. A node starts about ten attempts between two messages.
MAX_SLOWNESS_SAMPLES = 50

# Weight of each kind of failure as evidence that a registered upstream no longer runs.
SUSPICION_WEIGHTS = {
    AttemptFailure.NO_LISTENER: 2,
    AttemptFailure.OTHER_INSTANCE: 2,
    AttemptFailure.UNSENT: 1,
    AttemptFailure.BROKEN: 1,
}


class Dispatcher:
    """State machine for all requests of one node.

    Attributes that a node reports to the coordinator and then clears:

    - ``arrivals``: number of requests and seconds of prefill work by service and model.
    - ``adapters_used``: upstream, model and adapter of each request sent with an adapter.
    - ``declined``: upstreams that declined a request because its model or adapter was missing.
    - ``suspicions``: summed failure weights of upstreams that may have stopped.
    - ``slowness_samples``: samples of the slowness of upstreams.

    ``crashes`` decides which requests are refused because they crash upstreams. ``tries_blocked``
    is set on the one node that sends such a request from time to time, to test the verdict.
    ``notices`` contains what the upstreams say of themselves in their answers, and ``turns`` the
    turns at upstreams that limit their rate.
    """

    def __init__(
        self,
        domain: str,
        directory: UpstreamDirectory,
        residency: FleetResidency,
        bounds: ServiceBounds,
        rng: Random,
    ) -> None:
        self.notices = UpstreamNotices()
        self.turns = UpstreamTurns(self.notices, rng)
        self.selector = UpstreamSelector(
            domain, directory, residency, rng, self.notices, self.turns
        )
        self.load = self.selector.load
        self.arrivals: dict[tuple[str, str], tuple[int, float]] = {}
        self.adapters_used: set[tuple[str, str, str]] = set()
        self.declined: set[str] = set()
        self.suspicions: dict[str, int] = {}
        self.slowness_samples: list[SlownessSample] = []
        self.crashes = CrashAnalyzer()
        self.tries_blocked = False
        self._directory = directory
        self._residency = residency
        self._bounds = bounds
        self._rng = rng
        self._waits = WaitPolicy(self.selector, directory, residency, rng)
        self._waiting: list[Job] = []
        self._shares = FairShares()
        self._unanswered: set[Job] = set()
        self._enforced_verdicts = 0
        self._returning: list[tuple[float, Job]] = []
        self._queued_since: dict[tuple[str, str], float] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._node_count = 1
        self._stopping = False

    # Requests

    def submit(self, job: Job, now: float) -> list[Action]:
        """Send, queue or refuse a new request."""
        self._retry_budget(job.service).record_success()
        refusal = self._permanent_refusal(job, now)
        if refusal is not None:
            return [self._refuse(job, refusal, now, final=True)]
        if self._stopping:
            return [self._refuse(job, RefuseReason.STOPPING, now)]
        if job.model:
            self._record_arrival(job)
        return self._send_or_queue(job, now)

    def record_sent(self, job: Job) -> None:
        """Record that bytes of the request may have reached the upstream."""
        if job.attempt is not None and not job.attempt.on_wire:
            job.attempt.on_wire = True
            job.may_have_run_on.append(job.attempt.instance)

    def record_connected(self, entry: UpstreamEntry, took_s: float) -> None:
        """Record the time that it took to open a connection to an upstream, in seconds."""
        self.selector.leaving.links.record(entry.domain, took_s)

    def record_notice(self, job: Job, notice: UpstreamNotice, now: float) -> None:
        """Record what the upstream of a job says of itself in the head of its answer."""
        if job.attempt is not None:
            self.notices.record(job.attempt.process_id, notice, now)

    def record_first_event(self, job: Job, now: float) -> None:
        """Record the time to the first event of an answer."""
        attempt = job.attempt
        if attempt is None or attempt.first_event_at is not None:
            return
        self.load.record_first_event(job)
        attempt.first_event_at = now
        job.first_event_ms = round((now - attempt.sent_at) * 1000)
        self.selector.backoffs.record_progress(attempt.instance, attempt.sent_at)
        engine = self.selector.engine(job.service)
        if engine is not None and job.model:
            took_s = now - attempt.sent_at
            # The prompt parts that other nodes left in the cache are only assumed, so the time does
            # not measure the speed of the engine.
            if not attempt.assumes_cached_prefix:
                self._record_slowness(job.model, attempt, took_s)
            self.selector.prefix_caches.record_prompt(
                attempt.instance, job.model, job.adapter, job.prompt_parts, engine.cache_tokens
            )

    def record_answered(self, job: Job, now: float) -> None:
        """Record that an upstream has sent an event or a whole answer."""
        attempt = job.attempt
        if attempt is None or attempt.answered:
            return
        attempt.answered = True
        self._unanswered.discard(job)
        self.crashes.record_alive(attempt.process_id, attempt.sent_at, now)
        self.crashes.record_served(job.fingerprints, now)

    def succeed(self, job: Job, now: float) -> list[Action]:
        """Finish a request whose answer is complete."""
        self.record_answered(job, now)
        attempt = job.attempt
        if attempt is not None:
            self.selector.failure_rates.record(attempt.instance, False, now)
            self.selector.backoffs.record_progress(attempt.instance, attempt.sent_at)
            # A gap that spans a change of the upstream measures neither of the two.
            if job.model and len(job.may_have_run_on) == 1:
                gap_s = job.longest_pause_ms / 1000.0
                self.selector.token_gaps.record(gap_s, attempt.slowness, job.max_output_tokens)
            elif not job.model:
                self.selector.record_plain_latency(attempt.instance, now - attempt.sent_at)
        self._close(job)
        return self.dispatch_waiting(now)

    def fail(self, job: Job, failure: AttemptFailure, now: float) -> list[Action]:
        """Handle a failed attempt: retry the request, refuse it or return a failure."""
        attempt = job.attempt
        if attempt is None:
            return []
        self.load.remove(job)
        self._unanswered.discard(job)
        job.attempt = None
        instance = attempt.instance
        if attempt.on_wire and failure not in (
            AttemptFailure.ERROR,
            AttemptFailure.BROKEN,
            AttemptFailure.SILENT,
        ):
            job.may_have_run_on.remove(instance)
        self._record_suspicion(instance, failure)
        self._record_crash_evidence(job, attempt, failure, now)
        is_unanswered = failure is AttemptFailure.BROKEN and not attempt.answered
        match failure:
            case AttemptFailure.UNSENT | AttemptFailure.NO_LISTENER:
                self.selector.failure_rates.record(instance, True, now)
                self.selector.backoffs.record_crash(instance, now)
                job.excluded.add(instance)
            case AttemptFailure.NOT_RUN:
                self.selector.backoffs.record_refusal(instance, now)
                job.excluded.add(instance)
                job.declined_attempts += 1
            case AttemptFailure.NOT_RESIDENT:
                self._residency.record_absent(instance, job.model, job.adapter, now)
                self.declined.add(instance)
                job.declined_attempts += 1
            case AttemptFailure.OTHER_INSTANCE:
                self.selector.backoffs.record_crash(instance, now)
                job.excluded.add(instance)
                job.declined_attempts += 1
            case AttemptFailure.ERROR | AttemptFailure.BROKEN | AttemptFailure.SILENT:
                self.selector.failure_rates.record(instance, True, now)
                job.excluded.add(instance)
        return [
            *([Probe(job, instance)] if is_unanswered else ()),
            *self.enforce_verdicts(),
            *self._retry_or_give_up(job, failure, now),
            *self.dispatch_waiting(now),
        ]

    def cancel(self, job: Job, now: float) -> list[Action]:
        """Close a request whose caller has disconnected."""
        self._close(job)
        return self.dispatch_waiting(now)

    def expire(self, job: Job, now: float) -> list[Action]:
        """Return the final answer to a request whose deadline has passed."""
        if job.closed:
            return []
        if job.may_have_run:
            final: Action = Fail(job, FailReason.DEADLINE)
        else:
            final = self._refuse(job, self.waiting_reason(job, now), now, final=True)
        self._close(job)
        return [final, *self.dispatch_waiting(now)]

    def stop(self, now: float) -> list[Action]:
        """Refuse the waiting requests and all later ones, which other nodes can still serve.

        Waiting requests that may have run get their stored answer or a failure instead.
        """
        self._stopping = True
        waiting, self._waiting = self._waiting, []
        for job in waiting:
            job.waiting = False
        actions = (self._contained(self._answer_stopping, job, now) for job in waiting)
        return [action for action in actions if action is not None]

    def set_isolated(self, isolated: bool, now: float) -> list[Action]:
        """Set whether this node's failure domain is isolated from the others.

        An isolated node uses only upstreams of its own domain. Requests beyond their capacity are
        refused, so that callers retry at nodes of other domains.
        """
        self.selector.isolated = isolated
        return self.dispatch_waiting(now)

    def enforce_verdicts(self) -> list[Action]:
        """End the requests that are known by now to crash upstreams and have no answer yet."""
        if self.crashes.verdicts == self._enforced_verdicts:
            return []
        self._enforced_verdicts = self.crashes.verdicts
        return [
            self._end_crashing(job)
            for job in (*self._waiting, *self._unanswered)
            if not job.is_trial and self.crashes.is_blocked(job.fingerprints)
        ]

    def silence_limit_s(self, job: Job, now: float) -> float | None:
        """Return the timeout for the first event of the current attempt, in seconds.

        None means no timeout: the request must not be retried.
        """
        attempt = job.attempt
        if attempt is None or not job.route.repeatable or job.answer_begun:
            return None
        if len(job.may_have_run_on) >= job.route.max_attempts:
            return None
        return max(3.0 * attempt.expected_s, SILENCE_TIMEOUT_SHARE * (job.give_up_at - now))

    # Configuration, loads and reports

    def set_config(self, config: FleetConfig) -> None:
        """Replace the configuration."""
        self.selector.config = config
        self._shares.set_config(config)
        self._waiting.sort(key=lambda waiting: waiting.queue_key)

    def set_node_count(self, nodes: int) -> None:
        """Set the number of live nodes, which share the retry budget."""
        self._node_count = max(1, nodes)
        for budget in self._retry_budgets.values():
            budget.burst = self._retry_burst

    @property
    def node_count(self) -> int:
        """Number of live nodes, as last set."""
        return self._node_count

    def set_other_loads(self, loads: Mapping[str, UpstreamLoad], now: float) -> None:
        """Replace the loads that the other nodes put on the upstreams."""
        self.load.set_others(loads, now)

    def forget(self, instance: str) -> None:
        """Remove all statistics of an upstream that has stopped or restarted."""
        self.selector.forget(instance)
        self.turns.forget(instance)

    def record_no_listener(self, entry: UpstreamEntry, now: float) -> list[Action]:
        """Record that nothing listens at the address of an upstream."""
        instance = entry.instance
        self.crashes.record_ended(entry.process_id, now)
        self.selector.backoffs.record_crash(instance, now)
        self._record_suspicion(instance, AttemptFailure.NO_LISTENER)
        return self.enforce_verdicts()

    def record_process_end(self, process_id: str, now: float) -> list[Action]:
        """Record that the directory no longer contains a process of an upstream."""
        self.crashes.record_ended(process_id, now, share=False)
        return self.enforce_verdicts()

    def forget_model(self, instance: str, model: str) -> None:
        """Remove the cached prompt parts of a model that an upstream has unloaded."""
        self.selector.prefix_caches.forget_model(instance, model)

    def pending_demand(self, now: float) -> dict[tuple[str, str, str], tuple[int, float]]:
        """Return the requests by service, model and adapter that no upstream can serve in time.

        These are the waiting requests and those that were refused and are expected to return. Each
        value is the number of requests and the shortest time until one of them has to start, in
        seconds.
        """
        self._returning = [(until, job) for until, job in self._returning if until > now]
        start_times = [(job.start_deadline, job) for job in self._waiting]
        demand: dict[tuple[str, str, str], tuple[int, float]] = {}
        for start_at, job in (*start_times, *self._returning):
            if not job.model or self._has_available_upstream(job, now):
                continue
            key = (job.service, job.model, job.adapter)
            count, left_s = demand.get(key, (0, float("inf")))
            demand[key] = (count + 1, min(left_s, start_at - now))
        return demand

    def _has_available_upstream(self, job: Job, now: float) -> bool:
        """Return whether an upstream can run a job that does not wait for a turn there."""
        if not self.selector.has_capable_upstream(job, now):
            return False
        return self.selector.available_at(job, now) - now < MAX_TURN_WAIT_S

    def is_returning(self, job: Job) -> bool:
        """Return whether a job was refused and its caller is expected to return for its model."""
        return any(other is job for _, other in self._returning)

    def waiting_reason(self, job: Job, now: float) -> RefuseReason:
        """Return why a request cannot be sent now, which is also the reason if it is refused."""
        return self._waits.reason(job, now)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an upstream."""
        return len(self._waiting)

    def dispatch_waiting(self, now: float) -> list[Action]:
        """Send the waiting requests for which an upstream has capacity, urgent ones first.

        Of equally urgent ones, those of tenants that have used less than their share come first.

        Requests for which further waiting is useless get their final answer or refusal.
        """
        self.turns.clear_wanted()
        if not self._waiting:
            self._queued_since.clear()
            self._shares.forget_idle(())
            return []
        actions: list[Action] = []
        waiting, self._waiting = self._shares.order(self._waiting), []
        for job in waiting:
            job.waiting = False
            action = self._contained(self._send_or_stop, job, now)
            if action is not None:
                actions.append(action)
            else:
                job.waiting = True
                self._waiting.append(job)
        self._update_queues(now)
        return actions

    def _queued_since_of(self, job: Job, now: float) -> float:
        """Return since when requests have waited for a job's model without a pause."""
        return self._queued_since.get((job.service, job.model), now)

    def _update_queues(self, now: float) -> None:
        """Record since when requests have waited for each model without a pause."""
        queued = {(job.service, job.model) for job in self._waiting if job.model}
        self._queued_since = {key: self._queued_since.get(key, now) for key in queued}
        self._shares.forget_idle(self._waiting)

    # Steps

    def _record_arrival(self, job: Job) -> None:
        """Count a request for a model and the prefill time of its own, unshared prompt part."""
        own_tokens = job.prompt_parts[-1][1] if job.prompt_parts else job.prompt_tokens
        work_s = self.selector.slowness.expected_s("", job.model, own_tokens)
        key = (job.service, job.model)
        count, total_s = self.arrivals.get(key, (0, 0.0))
        self.arrivals[key] = (count + 1, total_s + work_s)

    def _record_slowness(self, model: str, attempt: Attempt, took_s: float) -> None:
        """Update the slowness estimate from a time to the first event and report the sample."""
        slowness = self.selector.slowness
        sample = slowness.observe(
            attempt.instance, model, attempt.slowness, attempt.expected_s, took_s
        )
        if sample is None:
            return
        slowness.record(sample)
        if len(self.slowness_samples) < MAX_SLOWNESS_SAMPLES:
            self.slowness_samples.append(sample)

    def _contained(
        self, step: Callable[[Job, float], Action | None], job: Job, now: float
    ) -> Action | None:
        """Return the action of a step, or one that ends the job if the step raises an error.

        An error with one request must not keep the other ones from being handled.
        """
        try:
            return step(job, now)
        except Exception as exc:
            self._close(job)
            return Abandon(job, exc)

    def _send_or_queue(self, job: Job, now: float) -> list[Action]:
        """Send a job, queue it, or end it if waiting is useless."""
        if not self._shares.must_wait(job, self._waiting):
            action = self._send_or_stop(job, now)
            if action is not None:
                return [action]
        job.waiting = True
        insort(self._waiting, job, key=lambda waiting: waiting.queue_key)
        return []

    def _send_or_stop(self, job: Job, now: float) -> Action | None:
        """Return the action that sends a job or ends it, None if it has to wait."""
        sent = self._try_send(job, now)
        if sent is None and self._waits.is_useless(job, self._queued_since_of(job, now), now):
            return self._stop_waiting(job, now)
        return sent

    def _retry_or_give_up(self, job: Job, failure: AttemptFailure, now: float) -> list[Action]:
        """Return the actions that follow a failed attempt."""
        if job.closed:
            return []
        if self.crashes.is_blocked(job.fingerprints):
            return [self._end_crashing(job)]
        if job.may_have_run:
            may_repeat = job.route.repeatable and len(job.may_have_run_on) < job.route.max_attempts
            if job.answer_begun and not (job.route.resumable and job.last_event_id):
                may_repeat = False
            if not may_repeat:
                return [self._final_answer(job, failure, now)]
        if job.declined_attempts > MAX_DECLINED_ATTEMPTS:
            if job.may_have_run:
                return [self._final_answer(job, failure, now)]
            return [self._refuse(job, RefuseReason.NOT_RUN_UPSTREAM, now)]
        if self._stopping and not job.may_have_run:
            return [self._refuse(job, RefuseReason.STOPPING, now)]
        sent = failure not in (AttemptFailure.UNSENT, AttemptFailure.NO_LISTENER)
        if sent and not self._retry_budget(job.service).take(now):
            if job.may_have_run:
                return [self._final_answer(job, failure, now)]
            return [self._refuse(job, RefuseReason.NOT_RUN_UPSTREAM, now)]
        if job.has_forwardable_answer and not self.selector.candidates(job, now):
            return [self._final_answer(job, failure, now)]
        return self._send_or_queue(job, now)

    def _final_answer(self, job: Job, failure: AttemptFailure, now: float) -> Action:
        """Close a job that is not retried and return its stored answer or a failure."""
        self._close(job)
        if job.has_forwardable_answer:
            return ForwardAnswer(job)
        is_error = failure is AttemptFailure.ERROR
        return Fail(job, FailReason.BAD_ANSWER if is_error else FailReason.CONNECTION_LOST)

    def _end_crashing(self, job: Job) -> Action:
        """Close a job that crashes upstreams and return its final answer."""
        self._close(job)
        if job.may_have_run:
            return Fail(job, FailReason.CRASHED_UPSTREAMS)
        return Refuse(job, RefuseReason.CRASHED_UPSTREAMS, None)

    def _record_suspicion(self, instance: str, failure: AttemptFailure) -> None:
        """Add the weight of a failure as evidence that an upstream no longer runs."""
        weight = SUSPICION_WEIGHTS.get(failure, 0)
        if weight:
            self.suspicions[instance] = self.suspicions.get(instance, 0) + weight

    def _record_crash_evidence(
        self, job: Job, attempt: Attempt, failure: AttemptFailure, now: float
    ) -> None:
        """Record what a failed attempt says about its upstream's process."""
        match failure:
            case AttemptFailure.BROKEN if not attempt.answered:
                self.crashes.record_broken(attempt.process_id, job.fingerprints, now)
            case AttemptFailure.NO_LISTENER | AttemptFailure.OTHER_INSTANCE:
                self.crashes.record_ended(attempt.process_id, now)
            case AttemptFailure.ERROR | AttemptFailure.NOT_RUN | AttemptFailure.NOT_RESIDENT:
                self.crashes.record_alive(attempt.process_id, attempt.sent_at, now)

    def _stop_waiting(self, job: Job, now: float) -> Action:
        """Close a waiting job and return its final answer or refusal."""
        if job.may_have_run:
            self._close(job)
            if job.has_forwardable_answer:
                return ForwardAnswer(job)
            return Fail(job, FailReason.DEADLINE)
        return self._refuse(job, self.waiting_reason(job, now), now)

    def _answer_stopping(self, job: Job, now: float) -> Action:
        """Close a job that waits on a stopping node and return its final answer or refusal."""
        if job.may_have_run:
            return self._stop_waiting(job, now)
        return self._refuse(job, RefuseReason.STOPPING, now)

    def _refuse(
        self, job: Job, reason: RefuseReason, now: float, final: bool = False
    ) -> Refuse | Fail:
        """Close a job and return its refusal, or a failure if it may have run.

        With ``final``, Retry-After is omitted unless other nodes can serve the request.
        """
        self._close(job)
        if job.may_have_run:
            return Fail(job, FailReason.CONNECTION_LOST)
        advice = self._waits.advise(job, reason, now, final)
        if advice.is_demand and advice.retry_after_s is not None:
            self._returning.append((now + advice.retry_after_s + RETURN_SLACK_S, job))
        return Refuse(job, reason, advice.retry_after_s)

    def _close(self, job: Job) -> None:
        """Remove a job from the queue and its attempt from the load."""
        if job.closed:
            return
        job.closed = True
        if job.waiting:
            job.waiting = False
            self._waiting.remove(job)
        self._unanswered.discard(job)
        if job.attempt is not None:
            self.load.remove(job)
            job.attempt = None

    def _try_send(self, job: Job, now: float) -> Send | None:
        """Return the action that sends a job to the best upstream, None if none has capacity.

        If the best upstream limits its rate, the job waits for a turn.
        """
        job.awaits_turn = False
        attempt = self.selector.choose(job, now)
        if attempt is None or not self._is_timely(job, attempt, now):
            return None
        if attempt.turn_wait_s > 0.0:
            job.awaits_turn = True
            start_s = attempt.expected_s - attempt.turn_wait_s
            self.turns.want(attempt.process_id, job.target_at - now - start_s)
            return None
        self.turns.take(attempt.process_id)
        job.attempt = attempt
        self._unanswered.add(job)
        self.load.add(job)
        self._shares.record_sent(job)
        if job.adapter:
            self.adapters_used.add((attempt.instance, job.model, job.adapter))
        return Send(job, attempt.instance, job.declined_attempts > 0 or job.may_have_run)

    # Conditions

    def _permanent_refusal(self, job: Job, now: float) -> RefuseReason | None:
        """Return the reason why no upstream can ever serve a job, None if one could."""
        if self._is_blocked(job, now):
            return RefuseReason.CRASHED_UPSTREAMS
        engine = self.selector.engine(job.service)
        if engine is None or not job.model:
            return None
        model = engine.models.get(job.model)
        if model is None:
            return RefuseReason.UNKNOWN_MODEL
        if job.prompt_tokens + job.max_output_tokens > engine.cache_tokens:
            return RefuseReason.TOO_LARGE
        return None

    def _is_blocked(self, job: Job, now: float) -> bool:
        """Return whether a job must not be sent because it would crash its upstream."""
        if not self.crashes.is_blocked(job.fingerprints):
            return False
        job.is_trial = self.tries_blocked and self.crashes.begin_trial(job.fingerprints, now)
        return not job.is_trial

    def _is_timely(self, job: Job, attempt: Attempt, now: float) -> bool:
        """Return whether an attempt can answer within the target or has a short wait.

        On an overloaded engine, requests that would be answered late anyway delay the others beyond
        their targets.
        """
        if not job.model or attempt.expected_s - attempt.prefill_s <= ALWAYS_ADMITTED_WAIT_S:
            return True
        return now + attempt.expected_s <= job.target_at

    @property
    def _retry_burst(self) -> float:
        return RETRY_BUDGET_SHARE * self._bounds.retry_slack / self._node_count

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            ratio = RETRY_BUDGET_SHARE * self._bounds.retry_ratio
            budget = RetryBudget(ratio, burst=self._retry_burst, floor_per_s=0.0)
            self._retry_budgets[service] = budget
        return budget
