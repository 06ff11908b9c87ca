"""Planning of model loads and of the evictions that they require."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..fleet import Service
from .cold_load_limiter import ColdLoadLimiter
from .demand_estimator import DemandEstimator
from .engine_option import EngineOption, Victim
from .engine_tracker import CopyState, EngineTracker
from .plan_state import PlanState

__all__ = ["LoadStep", "ModelNeed", "Planner", "RestoreStep", "Step", "UnloadStep", "WithdrawStep"]

# Fraction of an engine's time that prompts may take before its models get further copies. Above it,
# the time that a prompt waits for others grows quickly.
MAX_UTILIZATION = 0.6
# A copy with this backlog of unread prompts, in seconds, is overloaded at any utilization: the
# latency targets of the present sites are 0.4 s and more.
MAX_BACKLOG_S = 0.5
# While all copies of a model are overloaded, this many further copies may load concurrently, as a
# multiple of the live ones. Work is underestimated where engines read shared parts of prompts
# again, so loading one copy after the other would follow a jump in demand too slowly.
GROWTH_FACTOR = 1.0
# A model whose copies are overloaded gets a further one only if at least this many requests for it
# arrive while that copy is loaded from the weight store. The backlog of a rarer model ends before
# its copy could help, and it is due to the other models on the same engines.
MIN_REQUESTS_PER_LOAD = 2.0
# A model with this arrival rate, in requests per second, gets a second copy if that is cheap, so
# that one copy survives a crash.
SPARE_COPY_RATE = 1.5
# Value of a spare copy, compared with the eviction loss that it causes, in requests per second.
SPARE_COPY_VALUE = 0.3
# A model without a copy is loaded before a request waits for it if its arrival rate is at least
# this, in requests per second.
RELOAD_RATE = 1.0
# Priority of a load that only brings a model's weights to an engine's disk, in requests per second.
# Later loads there take a third of the time and do not count against the weight store's rate.
PREFETCH_PRIORITY = 0.01
# Priority added to a model that requests wait for, in requests per second.
WAITING_PRIORITY = 2.0
# The priority of a load, or ``SPARE_COPY_VALUE``, must be at least this multiple of the eviction
# loss, so that models do not evict each other in turn.
HYSTERESIS = 1.6
# Cost of a copy on a fully utilized engine, in seconds of load time.
UTILIZATION_COST_S = 2.0
# Cost of a load for each recently used adapter on the engine, in seconds of load time: adapters
# cannot be loaded there meanwhile.
ADAPTER_COST_S = 0.05
# Cost of a further copy per unit of the engine's slowness factor, in seconds of load time. Models
# in high demand belong on fast engines; slow engines suffice for rarely used ones.
SLOWNESS_COST_S = 1.0
# A copy is not evicted for this long after it was loaded, in seconds.
MIN_RESIDENCE_S = 1.5
# The eviction loss of a last copy is higher if its model had a request within this time, in
# seconds, so that normally only a model that requests wait for replaces it.
KEEP_LAST_COPY_S = 3.0
# Nodes stop sending requests to a withdrawn copy within this time, in seconds.
WITHDRAWAL_DELAY_S = 0.06
# A withdrawn copy is used again if its requests have not ended within this time, in seconds. An
# unload order would make the engine wait for them and accept no other order meanwhile.
WITHDRAWAL_TIMEOUT_S = 2.5
# Eviction loss for each request that runs on the copy, in requests per second.
RUNNING_REQUEST_LOSS = 0.4
# No step for a spare copy begins while this fraction of the engines, and at least one engine, is
# loading, unloading or withdrawing models: engines that load or unload accept no adapters.
MAX_CHANGING_SHARE = 0.2
# Arrival rate assumed initially for each copy of a model beyond the first, in requests per second:
# models with several copies at the start are assumed to be in demand.
PRIOR_RATE = 1.0


@dataclass(frozen=True)
class ModelNeed:
    """Model that should get another copy.

    ``priority`` is in requests per second. ``spare`` marks a copy that no demand requires now, such
    as one that is loaded in case of a crash. ``copies_overloaded`` is true if all other copies are
    overloaded.
    """

    model: str
    reason: str
    priority: float
    spare: bool = False
    copies_overloaded: bool = False


@dataclass(frozen=True)
class LoadStep:
    """Load a model on an engine now; ``reason`` is logged."""

    instance: str
    model: str
    reason: str


@dataclass(frozen=True)
class WithdrawStep:
    """Stop sending requests for a model to an engine, so that it can be unloaded."""

    instance: str
    model: str
    replaced_by: str


@dataclass(frozen=True)
class UnloadStep:
    """Unload a withdrawn model."""

    instance: str
    model: str


@dataclass(frozen=True)
class RestoreStep:
    """Use a withdrawn copy again because its requests did not end in time."""

    instance: str
    model: str


Step = LoadStep | WithdrawStep | UnloadStep | RestoreStep


class Planner:
    """Plans the model copies on the engines of one service.

    ``limiter`` limits loads from the weight store. The planner records the loads that it orders
    there; the caller must pass on the engines' answers.
    """

    def __init__(self, service: Service, demand: DemandEstimator, limiter: ColdLoadLimiter) -> None:
        self._service = service
        self._demand = demand
        self.limiter = limiter
        self._prior: dict[str, float] = {}

    def set_service(self, service: Service) -> None:
        """Set a new configuration of the service."""
        self._service = service

    def plan(self, state: PlanState) -> list[Step]:
        """Return the next steps, at most one for each engine of ``state``."""
        changing = sum(tracker.is_changing for tracker in state.trackers)
        steps = [
            step for tracker in state.trackers for step in self._continue_withdrawal(tracker, state)
        ]
        needs = self._needs(state)
        options = self._find_options(state, {step.instance for step in steps}) if needs else {}
        for need in needs:
            if not options:
                break
            if need.spare and changing >= max(1, int(MAX_CHANGING_SHARE * len(state.trackers))):
                continue
            step = self._choose_step(need, state, options.values())
            if step is not None:
                del options[step.instance]
                steps.append(step)
                changing += 1
        return steps

    # Needs

    def _needs(self, state: PlanState) -> list[ModelNeed]:
        """Return the models that should get another copy, by decreasing priority."""
        engine = self._service.engine
        assert engine is not None
        requested = {*state.waiting, *state.demand.active_models(state.service, state.now)}
        found = [self._need(model, state) for model in requested if model in engine.models]
        if self._prior:
            found += [self._need_on_disk(model, state) for model in engine.models]
        return sorted((need for need in found if need is not None), key=lambda n: -n.priority)

    def _need(self, model: str, state: PlanState) -> ModelNeed | None:
        """Return the need for another copy of a model, None if its copies suffice."""
        holders = state.holders.get(model, [])
        rate = state.rate(model)
        if not holders:
            if state.waiting.get(model):
                return ModelNeed(
                    model, "requests wait", WAITING_PRIORITY + state.waiting[model] + rate
                )
            # The last copy was lost or is being removed, and more requests are expected.
            return ModelNeed(model, "last copy lost", rate) if rate >= RELOAD_RATE else None
        live = [tracker for tracker in holders if tracker.is_live(model)]
        needed = state.demand.offered_load(state.service, model, state.now) / MAX_UTILIZATION
        max_loading = max(1, int(GROWTH_FACTOR * len(live)))
        has_enough_loading = (
            len(holders) - len(live) >= max_loading and state.capacity_of_copies(model) >= needed
        )
        if len(holders) == len(state.trackers) or has_enough_loading:
            return None
        if self._outlasts_load(model, rate) and self._is_overloaded(live, state):
            return ModelNeed(model, "engines too busy", rate, copies_overloaded=True)
        if len(holders) == 1 and rate >= SPARE_COPY_RATE:
            return ModelNeed(model, "spare copy", rate / 10.0, spare=True)
        return None

    def _outlasts_load(self, model: str, rate: float) -> bool:
        """Return whether a model's requests go on arriving while a further copy is loaded.

        ``rate`` is in requests per second.
        """
        engine = self._service.engine
        assert engine is not None
        return rate * engine.models[model].load_s >= MIN_REQUESTS_PER_LOAD

    def _need_on_disk(self, model: str, state: PlanState) -> ModelNeed | None:
        """Return the need to prefetch a model whose weights no engine has locally, else None."""
        if state.copy_count(model) or model in state.local_models:
            return None
        return ModelNeed(model, "prefetch to a disk", PREFETCH_PRIORITY, spare=True)

    def _is_overloaded(self, holders: list[EngineTracker], state: PlanState) -> bool:
        """Return whether all of the given engines are overloaded, also if there are none."""
        return all(
            state.utilization[tracker.instance] > MAX_UTILIZATION
            or state.backlog_s(tracker) > MAX_BACKLOG_S
            for tracker in holders
        )

    # Choice of engines

    def _find_options(self, state: PlanState, used_instances: set[str]) -> dict[str, EngineOption]:
        """Return the engines that can take a step, by instance.

        ``used_instances`` are the engines that already have a step in this plan.
        """
        return {
            tracker.instance: self._make_option(tracker, state)
            for tracker in state.trackers
            if tracker.instance not in used_instances
            and tracker.is_ready(state.now)
            and not tracker.is_changing
        }

    def _make_option(self, tracker: EngineTracker, state: PlanState) -> EngineOption:
        victims = sorted(
            Victim(
                self._eviction_loss(tracker, model, state),
                model,
                tracker.weights_mb(model),
            )
            for model, copy in tracker.copies.items()
            if copy.state is CopyState.LIVE and state.now - copy.since >= MIN_RESIDENCE_S
        )
        # The capacity that an engine does not offer counts as used.
        unavailable = 1.0 - state.capacity(tracker)
        cost_s = UTILIZATION_COST_S * max(unavailable, state.utilization[tracker.instance])
        cost_s += ADAPTER_COST_S * tracker.recent_adapters(state.now)
        return EngineOption(tracker, tracker.free_mb, cost_s, tuple(victims))

    def _choose_step(
        self, need: ModelNeed, state: PlanState, options: Iterable[EngineOption]
    ) -> Step | None:
        """Return the cheapest step towards a copy of a model, None if no engine can take one."""
        cold_allowed = self.limiter.allowed(state.now, state.cold_loads_in_progress)
        best: tuple[float, EngineTracker, Step] | None = None
        for option in options:
            tracker = option.tracker
            if need.model in tracker.copies or (not cold_allowed and tracker.is_cold(need.model)):
                continue
            found = self._step_at(need, option)
            if found is None:
                continue
            step, penalty = found
            cost = tracker.load_s(need.model) + penalty + option.cost_s
            if need.copies_overloaded:
                cost += SLOWNESS_COST_S * state.slowness.upstream_factor(tracker.instance)
            if best is None or cost < best[0]:
                best = (cost, tracker, step)
        if best is None:
            return None
        _, tracker, step = best
        if isinstance(step, LoadStep) and tracker.is_cold(step.model):
            self.limiter.record_order(tracker.instance, tracker.order_count, state.now)
        return step

    def _step_at(self, need: ModelNeed, option: EngineOption) -> tuple[Step, float] | None:
        """Return the next step towards a copy on one engine and its cost in seconds.

        Returns None if the model does not fit and no eviction is worth it.
        """
        tracker = option.tracker
        weights_mb = tracker.spec.models[need.model].weights_mb
        if option.free_mb >= weights_mb:
            return LoadStep(tracker.instance, need.model, need.reason), 0.0
        victim = option.find_victim(weights_mb)
        if victim is None:
            return None
        loss = victim.loss
        if loss * HYSTERESIS > (SPARE_COPY_VALUE if need.spare else need.priority):
            return None
        if need.priority <= PREFETCH_PRIORITY < loss:
            return None
        step = WithdrawStep(tracker.instance, victim.model, need.model)
        return step, 0.15 + min(loss, 50.0) * 0.1

    def _eviction_loss(self, tracker: EngineTracker, model: str, state: PlanState) -> float:
        """Return the loss that evicting a copy causes, in requests per second."""
        copies = state.copy_count(model)
        rate = state.rate(model) + self._prior.get(model, 0.0)
        loss = rate / max(1, copies)
        if copies <= 1:
            loss += rate
            if state.now - state.demand.last_arrival(state.service, model) < KEEP_LAST_COPY_S:
                loss += 1.0
        return loss + RUNNING_REQUEST_LOSS * state.running_requests(tracker, model)

    def _continue_withdrawal(self, tracker: EngineTracker, state: PlanState) -> list[Step]:
        """Return the step that follows a withdrawal on an engine, if one is due."""
        if not tracker.is_ready(state.now):
            return []
        for model, copy in tracker.copies.items():
            if copy.state is not CopyState.WITHDRAWN or state.now - copy.since < WITHDRAWAL_DELAY_S:
                continue
            if not state.running_requests(tracker, model):
                return [UnloadStep(tracker.instance, model)]
            if state.now - copy.since >= WITHDRAWAL_TIMEOUT_S:
                return [RestoreStep(tracker.instance, model)]
        return []

    def learn_priors(self, trackers: list[EngineTracker]) -> None:
        """Assume prior rates for models that have several copies at the start."""
        counts: dict[str, int] = {}
        for tracker in trackers:
            for model in tracker.copies:
                counts[model] = counts.get(model, 0) + 1
        self._prior = {model: PRIOR_RATE * (n - 1) for model, n in counts.items() if n > 1}

    def drop_priors(self) -> None:
        """Remove the prior rates once demand is known."""
        self._prior = {}
