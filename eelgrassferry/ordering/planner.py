"""Decides which model is loaded where, and what makes room for it."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..dispatch import UpstreamLoad
from ..fleet import Service
from .cold_load_gate import ColdLoadGate
from .demand_book import DemandBook
from .engine_book import CopyState, EngineBook

__all__ = ["LoadStep", "ModelNeed", "Planner", "RestoreStep", "Step", "UnloadStep", "WithdrawStep"]

# Share of an engine's time that prompts may take before a model on it gets a copy elsewhere. Beyond
# it, the wait for other prompts grows quickly.
BUSY_LIMIT = 0.45
# A copy behind this much unread prompt, in seconds, is overloaded whatever the rates say: the
# latency targets of the present sites are 0.4 s and more.
BACKLOG_LIMIT_S = 0.25
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
    """A model to load. ``waited_for`` says that requests cannot be served without it, ``spare``
    that the copy is only kept against a crash.
    """

    model: str
    waited_for: bool
    worth: float
    spare: bool = False


@dataclass(frozen=True)
class LoadStep:
    """Load a model on an engine now."""

    instance: str
    model: str


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


NO_LOAD = UpstreamLoad()

Step = LoadStep | WithdrawStep | UnloadStep | RestoreStep


class Planner:
    """Plans the model copies of one service's engines."""

    def __init__(self, service: Service, demand: DemandBook, gate: ColdLoadGate) -> None:
        self._service = service
        self._demand = demand
        self._gate = gate
        self._prior: dict[str, float] = {}

    def set_service(self, service: Service) -> None:
        """Use another configuration of the service."""
        self._service = service

    def plan(
        self,
        books: list[EngineBook],
        waiting: Mapping[str, int],
        running: Mapping[tuple[str, str], int],
        loads: Mapping[str, UpstreamLoad],
        now: float,
    ) -> list[Step]:
        """Return the next steps for the engines that can be used.

        ``waiting`` counts requests by model that no engine can take, ``running`` requests by
        instance and model, ``loads`` all work by instance.
        """
        moving = sum(book.is_changing for book in books)
        steps = [step for book in books for step in self._go_on(book, running, now)]
        taken = {step.instance for step in steps}
        busy = {book.instance: self._busy(book, books, now) for book in books}
        for need in self._needs(books, waiting, busy, loads, now):
            if need.spare and moving >= max(1, int(MOVING_SHARE * len(books))):
                continue
            step = self._serve(need, books, running, busy, taken, now)
            if step is not None:
                taken.add(step.instance)
                steps.append(step)
                moving += 1
        return steps

    @property
    def cold_loads(self) -> tuple[float, ...]:
        """The times at which recent loads from the weight store began."""
        return self._gate.begun

    # Needs

    def rate(self, model: str, now: float) -> float:
        """Return the demand of a model in requests a second."""
        prior = self._prior.get(model, 0.0)
        return self._demand.rate(self._service.name, model, now) + prior

    def _needs(
        self,
        books: list[EngineBook],
        waiting: Mapping[str, int],
        busy: Mapping[str, float],
        loads: Mapping[str, UpstreamLoad],
        now: float,
    ) -> list[ModelNeed]:
        """Return the models that should get another copy, the most important first."""
        found = []
        engine = self._service.engine
        assert engine is not None
        for model in engine.models:
            holders = [book for book in books if self._has_copy(book, model)]
            rate = self._demand.rate(self._service.name, model, now)
            if not holders:
                if waiting.get(model):
                    worth = WAITING_WORTH + waiting[model] + rate
                    found.append(ModelNeed(model, True, worth))
                elif rate >= LIVELY_RATE:
                    # Its last copy was lost or is leaving; the next requests are about to come.
                    found.append(ModelNeed(model, True, rate))
                elif self._prior and not any(not book.is_cold(model) for book in books):
                    found.append(ModelNeed(model, False, AT_HAND_WORTH, spare=True))
            elif len(holders) == len(books) or any(not book.live(model) for book in holders):
                continue
            elif rate > 0.0 and self._is_overloaded(holders, busy, loads):
                found.append(ModelNeed(model, False, rate))
            elif len(holders) == 1 and rate >= SPARE_COPY_RATE:
                found.append(ModelNeed(model, False, rate / 10.0, spare=True))
        return sorted(found, key=lambda need: -need.worth)

    def _is_overloaded(
        self,
        holders: list[EngineBook],
        busy: Mapping[str, float],
        loads: Mapping[str, UpstreamLoad],
    ) -> bool:
        """Whether every copy of a model is on an engine with too much work."""
        return all(
            busy[book.instance] > BUSY_LIMIT
            or sum(loads.get(book.instance, NO_LOAD).backlog.values()) > BACKLOG_LIMIT_S
            for book in holders
        )

    def _busy(self, book: EngineBook, books: list[EngineBook], now: float) -> float:
        """Return the share of an engine's time that prompts of its models take."""
        name = self._service.name
        return sum(
            self._demand.busy(name, model, now) / max(1, self._copies(books, model))
            for model, copy in book.copies.items()
            if copy.state is CopyState.LIVE
        )

    def _has_copy(self, book: EngineBook, model: str) -> bool:
        copy = book.copies.get(model)
        return copy is not None and copy.state in (CopyState.LIVE, CopyState.LOADING)

    def _copies(self, books: list[EngineBook], model: str) -> int:
        return sum(self._has_copy(book, model) for book in books)

    # Places

    def _serve(
        self,
        need: ModelNeed,
        books: list[EngineBook],
        running: Mapping[tuple[str, str], int],
        busy: Mapping[str, float],
        taken: set[str],
        now: float,
    ) -> Step | None:
        under_way = sum(
            book.is_cold(copy.room_for or model)
            for book in books
            for model, copy in book.copies.items()
            if copy.state is CopyState.LOADING or copy.room_for
        )
        cold_allowed = self._gate.allowed(now, under_way)
        best: tuple[float, Step] | None = None
        for book in books:
            if book.instance in taken or need.model in book.copies or book.is_changing:
                continue
            if not book.is_ready(now):
                continue
            if book.is_cold(need.model) and not cold_allowed:
                continue
            found = self._step_at(need, book, books, running, now)
            if found is None:
                continue
            step, penalty = found
            cost = book.load_s(need.model) + penalty + BUSY_COST_S * busy[book.instance]
            cost += ADAPTER_COST_S * book.recent_adapters(now)
            if best is None or cost < best[0]:
                best = (cost, step)
        if best is None:
            return None
        step = best[1]
        if isinstance(step, LoadStep):
            book = next(book for book in books if book.instance == step.instance)
            if book.is_cold(step.model):
                self._gate.note_begun(now)
        return step

    def _step_at(
        self,
        need: ModelNeed,
        book: EngineBook,
        books: list[EngineBook],
        running: Mapping[tuple[str, str], int],
        now: float,
    ) -> tuple[Step, float] | None:
        """Return the step towards a copy on one engine and its cost in seconds."""
        weights_mb = book.spec.models[need.model].weights_mb
        if book.free_mb >= weights_mb:
            return LoadStep(book.instance, need.model), 0.0
        victims = [
            (self._loss(book, model, books, running, now), model)
            for model, copy in book.copies.items()
            if copy.state is CopyState.LIVE
            and now - copy.since >= MIN_RESIDENCE_S
            and book.free_mb + book.spec.models[model].weights_mb >= weights_mb
        ]
        if not victims:
            return None
        loss, victim = min(victims)
        if loss * HYSTERESIS > (SPARE_LOSS if need.spare else need.worth):
            return None
        if need.worth <= AT_HAND_WORTH < loss:
            return None
        return WithdrawStep(book.instance, victim, need.model), 0.15 + min(loss, 50.0) * 0.1

    def _loss(
        self,
        book: EngineBook,
        model: str,
        books: list[EngineBook],
        running: Mapping[tuple[str, str], int],
        now: float,
    ) -> float:
        """Return how much the eviction of a copy costs, in requests a second."""
        copies = self._copies(books, model)
        rate = self.rate(model, now)
        loss = rate / max(1, copies)
        if copies <= 1:
            loss += rate
            if now - self._demand.last_asked(self._service.name, model) < KEEP_LAST_S:
                loss += 1.0
        return loss + RUN_LOSS * running.get((book.instance, model), 0)

    def _go_on(
        self, book: EngineBook, running: Mapping[tuple[str, str], int], now: float
    ) -> list[Step]:
        """Return what follows a withdrawal on an engine."""
        if not book.is_ready(now):
            return []
        for model, copy in book.copies.items():
            if copy.state is not CopyState.WITHDRAWN or now - copy.since < WITHDRAW_S:
                continue
            if not running.get((book.instance, model), 0):
                return [UnloadStep(book.instance, model)]
            if now - copy.since >= RUNS_WAIT_S:
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
