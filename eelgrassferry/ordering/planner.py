"""Decides which model is loaded where, and what makes room for it."""

import math
from dataclasses import dataclass

from ..fleet import Service
from .cold_load_gate import ColdLoadGate
from .demand_book import DemandBook
from .engine_book import CopyState, EngineBook
from .plan_state import PlanState

__all__ = ["LoadStep", "ModelNeed", "Planner", "RestoreStep", "Step", "UnloadStep", "WithdrawStep"]

# Share of an engine's time that prompts may take before a model on it gets a copy elsewhere. Beyond
# it, the wait for other prompts grows quickly.
BUSY_LIMIT = 0.6
# A copy behind this much unread prompt, in seconds, is overloaded whatever the rates say: the
# latency targets of the present sites are 0.4 s and more.
BACKLOG_LIMIT_S = 0.5
# While every copy of a model is overloaded, this many times as many as there are may be loaded at
# once. The work of a request is underestimated where engines read shared parts of prompts again, so
# one copy after the other would follow a jump of the demand too slowly.
GROWTH = 1.0
# A model that is asked for at this rate, in requests a second, gets a second copy where that costs
# little, so that a crash leaves one.
SPARE_COPY_RATE = 1.5
# Loss that a spare copy is worth, in requests a second.
SPARE_LOSS = 0.3
# A model without a copy is loaded before a request waits for it if it is asked for at this rate, in
# requests a second.
LIVELY_RATE = 1.0
# Worth of a load that only brings a model's weights to an engine's disk, in requests a second.
# Later loads there take a third of the time and do not draw on the weight store's rate.
AT_HAND_WORTH = 0.01
# What a request that waits for a model counts, in requests a second.
WAITING_WORTH = 2.0
# The demand of the model to be loaded must exceed this multiple of the demand that the evicted
# copy carries, which keeps models from trading places.
HYSTERESIS = 1.6
# Cost of a copy on an engine that is fully busy already, in seconds of a load.
BUSY_COST_S = 2.0
# Cost of a load on an engine for each adapter in use there, in seconds of a load: no adapter is
# loaded meanwhile.
ADAPTER_COST_S = 0.05
# Cost of a further copy on a slow engine, in seconds of a load for each time that it is slower than
# assumed. Models in demand belong on fast engines, rare ones are served by slow ones as well.
SLOW_COST_S = 1.0
# A copy is not evicted for this long after it was loaded, in seconds.
MIN_RESIDENCE_S = 1.5
# A model that was asked for within this time keeps its last copy, unless one that is waited for
# needs the place, in seconds.
KEEP_LAST_S = 3.0
# Nodes stop sending to a withdrawn copy within this time, in seconds.
WITHDRAW_S = 0.06
# A withdrawn copy whose requests do not end within this time is used again, in seconds. An engine
# that is told to unload it would wait for them and take no other order meanwhile.
RUNS_WAIT_S = 2.5
# What a request that runs on a copy adds to the loss of evicting it, in requests a second.
RUN_LOSS = 0.4
# Engines that are loading or unloading take no adapters, so that at most this share of them does
# so for models that nothing waits for.
MOVING_SHARE = 0.2
# Rate assumed at first for a model, for each copy that it has beyond the first: the models that
# are on several engines at the start are the busy ones.
PRIOR_RATE = 1.0


@dataclass(frozen=True)
class ModelNeed:
    """A model to load. ``spare`` says that the copy is only kept against a crash, ``further`` that
    the other copies are overloaded.
    """

    model: str
    reason: str
    worth: float
    spare: bool = False
    further: bool = False


@dataclass(frozen=True)
class LoadStep:
    """Load a model on an engine now; ``reason`` is for the log."""

    instance: str
    model: str
    reason: str


@dataclass(frozen=True)
class WithdrawStep:
    """Stop sending requests for a model to an engine, to unload it next."""

    instance: str
    model: str
    makes_room_for: str


@dataclass(frozen=True)
class UnloadStep:
    """Unload a withdrawn model."""

    instance: str
    model: str


@dataclass(frozen=True)
class RestoreStep:
    """Take back a withdrawal because the copy's runs do not end."""

    instance: str
    model: str


Step = LoadStep | WithdrawStep | UnloadStep | RestoreStep


class Planner:
    """Plans the model copies of one service's engines. ``gate`` holds loads from the weight store
    back; its owner tells it the engines' answers.
    """

    def __init__(self, service: Service, demand: DemandBook, gate: ColdLoadGate) -> None:
        self._service = service
        self._demand = demand
        self.gate = gate
        self._prior: dict[str, float] = {}

    def set_service(self, service: Service) -> None:
        """Use another configuration of the service."""
        self._service = service

    def plan(self, state: PlanState) -> list[Step]:
        """Return the next steps for the engines that can be used."""
        moving = sum(book.is_changing for book in state.books)
        steps = [step for book in state.books for step in self._go_on(book, state)]
        taken = {step.instance for step in steps}
        for need in self._needs(state):
            if need.spare and moving >= max(1, int(MOVING_SHARE * len(state.books))):
                continue
            step = self._serve(need, state, taken)
            if step is not None:
                taken.add(step.instance)
                steps.append(step)
                moving += 1
        return steps

    # Needs

    def _needs(self, state: PlanState) -> list[ModelNeed]:
        """Return the models that should get another copy, the most important first."""
        engine = self._service.engine
        assert engine is not None
        asked = {*state.waiting, *state.demand.active(state.service, state.now)}
        found = [self._need(model, state) for model in asked if model in engine.models]
        if self._prior:
            found += [self._need_at_hand(model, state) for model in engine.models]
        return sorted((need for need in found if need is not None), key=lambda n: -n.worth)

    def _need(self, model: str, state: PlanState) -> ModelNeed | None:
        holders = state.holders.get(model, [])
        rate = state.rate(model)
        if not holders:
            if state.waiting.get(model):
                return ModelNeed(
                    model, "requests wait", WAITING_WORTH + state.waiting[model] + rate
                )
            # Its last copy was lost or is leaving; the next requests are about to come.
            return ModelNeed(model, "last copy lost", rate) if rate >= LIVELY_RATE else None
        live = [book for book in holders if book.live(model)]
        enough = math.ceil(state.demand.busy(state.service, model, state.now) / BUSY_LIMIT)
        at_once = max(1, int(GROWTH * len(live)))
        is_growing = len(holders) - len(live) >= at_once and len(holders) >= enough
        if len(holders) == len(state.books) or is_growing:
            return None
        if rate > 0.0 and self._is_overloaded(live, state):
            return ModelNeed(model, "engines too busy", rate, further=True)
        if len(holders) == 1 and rate >= SPARE_COPY_RATE:
            return ModelNeed(model, "spare copy", rate / 10.0, spare=True)
        return None

    def _need_at_hand(self, model: str, state: PlanState) -> ModelNeed | None:
        if state.copies(model) or any(not book.is_cold(model) for book in state.books):
            return None
        return ModelNeed(model, "bring to a disk", AT_HAND_WORTH, spare=True)

    def _is_overloaded(self, holders: list[EngineBook], state: PlanState) -> bool:
        """Whether every copy of a model is on an engine with too much work."""
        return all(
            state.busy[book.instance] > BUSY_LIMIT or state.backlog_s(book) > BACKLOG_LIMIT_S
            for book in holders
        )

    # Places

    def _serve(self, need: ModelNeed, state: PlanState, taken: set[str]) -> Step | None:
        under_way = sum(
            book.is_cold(copy.room_for or model)
            for book in state.books
            for model, copy in book.copies.items()
            if copy.state is CopyState.LOADING or copy.room_for
        )
        cold_allowed = self.gate.allowed(state.now, under_way)
        best: tuple[float, EngineBook, Step] | None = None
        for book in state.books:
            if book.instance in taken or need.model in book.copies or book.is_changing:
                continue
            if not book.is_ready(state.now) or (book.is_cold(need.model) and not cold_allowed):
                continue
            found = self._step_at(need, book, state)
            if found is None:
                continue
            step, penalty = found
            cost = book.load_s(need.model) + penalty + BUSY_COST_S * state.busy[book.instance]
            cost += ADAPTER_COST_S * book.recent_adapters(state.now)
            if need.further:
                cost += SLOW_COST_S * state.pace.upstream_factor(book.instance)
            if best is None or cost < best[0]:
                best = (cost, book, step)
        if best is None:
            return None
        _, book, step = best
        if isinstance(step, LoadStep) and book.is_cold(step.model):
            self.gate.note_ordered(book.instance, book.count, state.now)
        return step

    def _step_at(
        self, need: ModelNeed, book: EngineBook, state: PlanState
    ) -> tuple[Step, float] | None:
        """Return the step towards a copy on one engine and its cost in seconds."""
        weights_mb = book.spec.models[need.model].weights_mb
        free_mb = book.free_mb
        if free_mb >= weights_mb:
            return LoadStep(book.instance, need.model, need.reason), 0.0
        victims = [
            (self._loss(book, model, state), model)
            for model, copy in book.copies.items()
            if copy.state is CopyState.LIVE
            and state.now - copy.since >= MIN_RESIDENCE_S
            and free_mb + book.spec.models[model].weights_mb >= weights_mb
        ]
        if not victims:
            return None
        loss, victim = min(victims)
        if loss * HYSTERESIS > (SPARE_LOSS if need.spare else need.worth):
            return None
        if need.worth <= AT_HAND_WORTH < loss:
            return None
        return WithdrawStep(book.instance, victim, need.model), 0.15 + min(loss, 50.0) * 0.1

    def _loss(self, book: EngineBook, model: str, state: PlanState) -> float:
        """Return how much the eviction of a copy costs, in requests a second."""
        copies = state.copies(model)
        rate = state.rate(model) + self._prior.get(model, 0.0)
        loss = rate / max(1, copies)
        if copies <= 1:
            loss += rate
            if state.now - state.demand.last_asked(state.service, model) < KEEP_LAST_S:
                loss += 1.0
        return loss + RUN_LOSS * state.runs(book, model)

    def _go_on(self, book: EngineBook, state: PlanState) -> list[Step]:
        """Return what follows a withdrawal on an engine."""
        if not book.is_ready(state.now):
            return []
        for model, copy in book.copies.items():
            if copy.state is not CopyState.WITHDRAWN or state.now - copy.since < WITHDRAW_S:
                continue
            if not state.runs(book, model):
                return [UnloadStep(book.instance, model)]
            if state.now - copy.since >= RUNS_WAIT_S:
                return [RestoreStep(book.instance, model)]
        return []

    def learn_priors(self, books: list[EngineBook]) -> None:
        """Take the models that are on several engines at the start as the busy ones."""
        counts: dict[str, int] = {}
        for book in books:
            for model in book.copies:
                counts[model] = counts.get(model, 0) + 1
        self._prior = {model: PRIOR_RATE * (n - 1) for model, n in counts.items() if n > 1}

    def drop_priors(self) -> None:
        """Forget the first assumption once demand is known."""
        self._prior = {}
