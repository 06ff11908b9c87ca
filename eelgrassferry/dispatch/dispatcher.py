"""Decides for each request when it is sent to which upstream, repeated, refused or given up.

No I/O: each input takes the time in seconds and returns the actions that the shell carries out.
"""

from bisect import insort
from collections.abc import Mapping
from random import Random

from ..fleet import FleetConfig, ServiceBounds, UpstreamDirectory
from ..routing import RetryBudget
from .actions import Action, Answer, Fail, FailReason, FlightEnd, Refuse, RefuseReason, Send
from .fleet_residency import FleetResidency
from .job import Flight, Job
from .load_view import UpstreamLoad
from .pace_seen import PaceSeen
from .upstream_choice import PLAIN_START_S, UpstreamChoice

__all__ = ["Dispatcher"]

# Part of the repeats allowed to the whole system that the nodes use together; the rest covers
# uneven shares of the traffic.
BUDGET_SHARE = 0.7
# A request that upstreams declined is offered to at most this many more.
MAX_DECLINED = 3
# Share of the time left after which a silent upstream is given up for a repeatable request.
SILENCE_SHARE = 0.4
# Retry-After where another node can serve the request, in seconds; callers come back to another.
OTHER_NODE_RETRY_S = 0.05
# Share of its caller's patience that a request waits for room, or for a model or adapter of which
# no load is known. After that its caller is told to come back, which reaches further than waiting.
HOLD_SHARE = 0.55
# Work ahead of a request, in seconds, that never keeps it from being sent: about one prompt.
ADMIT_AHEAD_S = 0.15
# Retry-After where nodes of another domain can, in seconds: the balancer needs two checks, one a
# second, to send callers there.
OTHER_DOMAIN_RETRY_S = 1.0
# Retry-After where nothing better is known, in seconds.
RETRY_AFTER_S = 1.0

# Observations of upstreams' paces that are kept for one status to the coordinator, so that a status
# stays small. A node has about ten runs between two of them.
MAX_PACES_SEEN = 50

# How much the end of a run speaks for the upstream being gone, although it is still registered.
DOUBTS = {
    FlightEnd.NO_LISTENER: 2,
    FlightEnd.OTHER_INSTANCE: 2,
    FlightEnd.UNSENT: 1,
    FlightEnd.BROKEN: 1,
}


class Dispatcher:
    """The requests of one node. ``nodes`` is the number of live nodes."""

    def __init__(
        self,
        domain: str,
        directory: UpstreamDirectory,
        residency: FleetResidency,
        bounds: ServiceBounds,
        rng: Random,
    ) -> None:
        self.choice = UpstreamChoice(domain, directory, residency, rng)
        self.load = self.choice.load
        self.arrivals: dict[tuple[str, str], tuple[int, float]] = {}
        self.adapters_used: set[tuple[str, str, str]] = set()
        self.declined: set[str] = set()
        self.doubts: dict[str, int] = {}
        self.paces_seen: list[PaceSeen] = []
        self._directory = directory
        self._residency = residency
        self._bounds = bounds
        self._waiting: list[Job] = []
        self._budgets: dict[str, RetryBudget] = {}
        self._nodes = 1
        self._stopping = False

    # Requests

    def submit(self, job: Job, now: float) -> list[Action]:
        """Take a new request."""
        self._budget(job.service).record_success()
        refusal = self._unservable(job)
        if refusal is not None:
            return [self._refuse(job, refusal, now, final=True)]
        if self._stopping:
            return [self._refuse(job, RefuseReason.STOPPING, now)]
        if job.model:
            self._note_arrival(job)
        return self._place_or_wait(job, now)

    def note_sent(self, job: Job) -> None:
        """Take that a byte of the request may reach the upstream from now on."""
        if job.flight is not None and not job.flight.on_wire:
            job.flight.on_wire = True
            job.ran_on.append(job.flight.instance)

    def note_first_event(self, job: Job, now: float) -> None:
        """Take the first event of an answer."""
        flight = job.flight
        if flight is None or flight.first_event_at is not None:
            return
        self.load.note_first_event(job)
        flight.first_event_at = now
        job.first_event_ms = round((now - flight.sent_at) * 1000)
        self.choice.pauses.record_progress(flight.instance, flight.sent_at)
        engine = self.choice.engine(job.service)
        if engine is not None and job.model:
            took_s = now - flight.sent_at
            # A wrong assumption on what is kept says nothing of the engine's speed.
            if not flight.is_assumed:
                self._note_pace(job.model, flight, took_s)
            self.choice.prefix.note_run(
                flight.instance, job.model, job.adapter, job.parts, engine.cache_tokens
            )

    def succeed(self, job: Job, now: float) -> list[Action]:
        """Take a complete answer."""
        flight = job.flight
        if flight is not None:
            self.choice.health.note(flight.instance, False, now)
            self.choice.pauses.record_progress(flight.instance, flight.sent_at)
            # A gap between two upstreams says nothing of either.
            if job.model and len(job.ran_on) == 1:
                gap_s = job.longest_pause_ms / 1000.0
                self.choice.gaps.note(gap_s, flight.pace, job.max_output_tokens)
            elif not job.model:
                self.choice.note_plain(flight.instance, now - flight.sent_at)
        self._close(job)
        return self.pump(now)

    def fail(self, job: Job, end: FlightEnd, now: float) -> list[Action]:
        """Take the end of a run that brought no success; repeat it, refuse it or give up."""
        flight = job.flight
        if flight is None:
            return []
        self.load.remove(job)
        job.flight = None
        instance = flight.instance
        if flight.on_wire and end not in (FlightEnd.ERROR, FlightEnd.BROKEN, FlightEnd.SILENT):
            job.ran_on.remove(instance)
        doubt = DOUBTS.get(end, 0)
        if doubt:
            self.doubts[instance] = self.doubts.get(instance, 0) + doubt
        match end:
            case FlightEnd.UNSENT | FlightEnd.NO_LISTENER:
                self.choice.health.note(instance, True, now)
                self.choice.pauses.record_crash(instance, now)
                job.avoid.add(instance)
            case FlightEnd.NOT_RUN:
                self.choice.pauses.record_refusal(instance, now)
                job.avoid.add(instance)
                job.not_run_tries += 1
            case FlightEnd.NOT_RESIDENT:
                self._residency.note_absent(instance, job.model, job.adapter, now)
                self.declined.add(instance)
                job.not_run_tries += 1
            case FlightEnd.OTHER_INSTANCE:
                self.choice.pauses.record_crash(instance, now)
                job.avoid.add(instance)
                job.not_run_tries += 1
            case FlightEnd.ERROR | FlightEnd.BROKEN | FlightEnd.SILENT:
                self.choice.health.note(instance, True, now)
                job.avoid.add(instance)
        return [*self._go_on(job, end, now), *self.pump(now)]

    def cancel(self, job: Job, now: float) -> list[Action]:
        """Drop a request whose caller has gone."""
        self._close(job)
        return self.pump(now)

    def expire(self, job: Job, now: float) -> list[Action]:
        """Give a request its final answer because its time has run out."""
        if job.closed:
            return []
        if job.may_have_run:
            last: Action = Fail(job, FailReason.DEADLINE)
        else:
            last = self._refuse(job, self.reason_to_wait(job, now), now, final=True)
        self._close(job)
        return [last, *self.pump(now)]

    def stop(self, now: float) -> list[Action]:
        """Refuse what waits and all that comes from now on: other nodes can still serve it."""
        self._stopping = True
        waiting, self._waiting = self._waiting, []
        actions: list[Action] = []
        for job in waiting:
            job.waiting = False
            if job.may_have_run:
                actions.append(self._end_waiting(job, now))
            else:
                actions.append(self._refuse(job, RefuseReason.STOPPING, now))
        return actions

    def set_isolated(self, isolated: bool, now: float) -> list[Action]:
        """Take whether this node's domain is cut off. While it is, only upstreams of the domain
        are used, and what they cannot take is refused for nodes elsewhere.
        """
        self.choice.isolated = isolated
        return self.pump(now)

    def silence_limit_s(self, job: Job, now: float) -> float | None:
        """Return after how long without an answer a run is given up, None for never."""
        flight = job.flight
        if flight is None or not job.route.repeatable or job.answer_begun:
            return None
        if len(job.ran_on) >= job.route.max_attempts:
            return None
        return max(3.0 * flight.expected_s, SILENCE_SHARE * (job.give_up_at - now))

    # Views

    def set_config(self, config: FleetConfig) -> None:
        """Use another version of the configuration."""
        self.choice.config = config

    def set_nodes(self, nodes: int) -> None:
        """Take the number of live nodes, which share the budget of repeats."""
        self._nodes = max(1, nodes)
        for budget in self._budgets.values():
            budget.burst = self._burst

    def set_other_loads(self, loads: Mapping[str, UpstreamLoad], now: float) -> None:
        """Replace what the other nodes have in flight."""
        self.load.set_others(loads, now)

    def forget(self, instance: str) -> None:
        """Drop what was learned about an upstream that is gone or restarted."""
        self.choice.forget(instance)

    def forget_model(self, instance: str, model: str) -> None:
        """Drop what an upstream kept of a model that it no longer holds."""
        self.choice.prefix.forget_model(instance, model)

    def wanted(self, now: float) -> dict[tuple[str, str, str], tuple[int, float]]:
        """Return, for each service, model and adapter that requests wait for, how many there are
        and the least time left to one of them, in seconds.
        """
        found: dict[tuple[str, str, str], tuple[int, float]] = {}
        for job in self._waiting:
            if not job.model or self.choice.has_holder(job, now):
                continue
            key = (job.service, job.model, job.adapter)
            count, left_s = found.get(key, (0, float("inf")))
            found[key] = (count + 1, min(left_s, job.patience_at - now))
        return found

    def reason_to_wait(self, job: Job, now: float) -> RefuseReason:
        """Return what a request waits for, which is the reason if it is refused."""
        if not self._directory.of_service(job.service):
            return RefuseReason.NO_UPSTREAM
        if job.model and not self.choice.has_holder(job, now):
            return RefuseReason.NOT_RESIDENT
        return RefuseReason.NO_CAPACITY

    @property
    def waiting(self) -> int:
        """The number of requests that wait for an upstream."""
        return len(self._waiting)

    def pump(self, now: float) -> list[Action]:
        """Send the waiting requests that have a place now, urgent ones first."""
        if not self._waiting:
            return []
        actions: list[Action] = []
        kept = []
        for job in self._waiting:
            sent = self._place(job, now)
            if sent is not None:
                job.waiting = False
                actions.append(sent)
            elif self._is_hopeless(job, now):
                job.waiting = False
                actions.append(self._end_waiting(job, now))
            else:
                kept.append(job)
        self._waiting = kept
        return actions

    # Steps

    def _note_arrival(self, job: Job) -> None:
        """Count a request for a model and the work that its own part of the prompt is."""
        own_tokens = job.parts[-1][1] if job.parts else job.prompt_tokens
        work_s = self.choice.pace.expected_s("", job.model, own_tokens)
        key = (job.service, job.model)
        count, total_s = self.arrivals.get(key, (0, 0.0))
        self.arrivals[key] = (count + 1, total_s + work_s)

    def _note_pace(self, model: str, flight: Flight, took_s: float) -> None:
        """Learn from a time to the first event, and keep it for the coordinator."""
        pace = self.choice.pace
        seen = pace.observe(flight.instance, model, flight.pace, flight.expected_s, took_s)
        if seen is None:
            return
        pace.note(seen)
        if len(self.paces_seen) < MAX_PACES_SEEN:
            self.paces_seen.append(seen)

    def _place_or_wait(self, job: Job, now: float) -> list[Action]:
        sent = self._place(job, now)
        if sent is not None:
            return [sent]
        if self._is_hopeless(job, now):
            return [self._end_waiting(job, now)]
        job.waiting = True
        insort(self._waiting, job, key=lambda waiting: waiting.order)
        return []

    def _go_on(self, job: Job, end: FlightEnd, now: float) -> list[Action]:
        """Decide what follows a run that failed."""
        if job.closed:
            return []
        if job.may_have_run:
            may_repeat = job.route.repeatable and len(job.ran_on) < job.route.max_attempts
            if job.answer_begun and not (job.route.resumable and job.last_event_id):
                may_repeat = False
            if not may_repeat:
                return [self._last_answer(job, end, now)]
        if job.not_run_tries > MAX_DECLINED:
            if job.may_have_run:
                return [self._last_answer(job, end, now)]
            return [self._refuse(job, RefuseReason.NOT_RUN_UPSTREAM, now)]
        if self._stopping and not job.may_have_run:
            return [self._refuse(job, RefuseReason.STOPPING, now)]
        sent = end not in (FlightEnd.UNSENT, FlightEnd.NO_LISTENER)
        if sent and not self._budget(job.service).take(now):
            if job.may_have_run:
                return [self._last_answer(job, end, now)]
            return [self._refuse(job, RefuseReason.NOT_RUN_UPSTREAM, now)]
        if job.stored_answer is not None and not self.choice.candidates(job, now):
            return [self._last_answer(job, end, now)]
        return self._place_or_wait(job, now)

    def _last_answer(self, job: Job, end: FlightEnd, now: float) -> Action:
        self._close(job)
        if job.stored_answer is not None:
            return Answer(job)
        bad = end is FlightEnd.ERROR
        return Fail(job, FailReason.BAD_ANSWER if bad else FailReason.CONNECTION_LOST)

    def _end_waiting(self, job: Job, now: float) -> Action:
        if job.may_have_run:
            self._close(job)
            return Answer(job) if job.stored_answer else Fail(job, FailReason.DEADLINE)
        return self._refuse(job, self.reason_to_wait(job, now), now)

    def _refuse(
        self, job: Job, reason: RefuseReason, now: float, final: bool = False
    ) -> Refuse | Fail:
        self._close(job)
        if job.may_have_run:
            return Fail(job, FailReason.CONNECTION_LOST)
        retry_after_s: float | None = None if final else RETRY_AFTER_S
        if reason is RefuseReason.STOPPING:
            retry_after_s = OTHER_NODE_RETRY_S
        elif self.choice.isolated:
            retry_after_s = OTHER_DOMAIN_RETRY_S
        if not final and reason is RefuseReason.NOT_RESIDENT:
            due = self._residency.loading_until(job.service, job.model)
            if due is not None:
                retry_after_s = max(0.05, due - now)
        return Refuse(job, reason, retry_after_s)

    def _close(self, job: Job) -> None:
        if job.closed:
            return
        job.closed = True
        if job.waiting:
            job.waiting = False
            self._waiting.remove(job)
        if job.flight is not None:
            self.load.remove(job)
            job.flight = None

    def _place(self, job: Job, now: float) -> Send | None:
        """Send a job where its answer is expected first, or return None where none has room."""
        flight = self.choice.choose(job, now)
        if flight is None or not self._is_timely(job, flight, now):
            return None
        job.flight = flight
        self.load.add(job)
        if job.adapter:
            self.adapters_used.add((flight.instance, job.model, job.adapter))
        return Send(job, flight.instance, job.not_run_tries > 0 or job.may_have_run)

    # Conditions

    def _unservable(self, job: Job) -> RefuseReason | None:
        """Return why no upstream can ever serve a job, or None."""
        engine = self.choice.engine(job.service)
        if engine is None or not job.model:
            return None
        model = engine.models.get(job.model)
        if model is None:
            return RefuseReason.UNKNOWN_MODEL
        if job.prompt_tokens + job.max_output_tokens > engine.cache_tokens:
            return RefuseReason.TOO_LARGE
        return None

    def _is_timely(self, job: Job, flight: Flight, now: float) -> bool:
        """Whether a run can begin its answer within the target, or has little work ahead of it.

        Where an engine has more work than it can do, requests that it would serve late keep the
        others from being served in time.
        """
        if not job.model or flight.expected_s - flight.prefill_s <= ADMIT_AHEAD_S:
            return True
        return now + flight.expected_s <= job.target_at

    def _is_hopeless(self, job: Job, now: float) -> bool:
        """Whether a job that is sent at once would miss its deadline, or cannot be sent here."""
        if job.model and not self.choice.has_holder(job, now):
            if self.choice.isolated:
                return True
            due = self._residency.loading_until(job.service, job.model)
            if (due is None or due >= job.patience_at) and self._is_held_long(job, now):
                return True
        elif job.model and self._is_held_long(job, now):
            return True
        if job.model:
            least_s = self.choice.pace.expected_s("", job.model, job.prompt_tokens) / 2.0
        else:
            least_s = PLAIN_START_S / 2.0
        return now + least_s >= job.patience_at

    def _is_held_long(self, job: Job, now: float) -> bool:
        return now >= job.arrived_at + HOLD_SHARE * (job.patience_at - job.arrived_at)

    @property
    def _burst(self) -> float:
        return BUDGET_SHARE * self._bounds.retry_slack / self._nodes

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio = BUDGET_SHARE * self._bounds.retry_ratio
            budget = RetryBudget(ratio, burst=self._burst, floor_per_s=0.0)
            self._budgets[service] = budget
        return budget
