"""Carries out a planner's moves on the fake engines."""

import math
from collections.abc import Callable

from .engine import Engine
from .fleet import Fleet
from .planning import CopyMove, Planner, PlanView
from .trace import Arrival

__all__ = ["Mover"]

PLAN_EVERY_S = 1.0
# Horizons of the demand estimate, in seconds.
FAST_S, SLOW_S = 4.0, 60.0
SPREAD_ADAPTERS_S = 1.0


class Mover:
    """Smooths demand, asks the planner, drains copies that are to go, and starts the loads."""

    def __init__(
        self,
        fleet: Fleet,
        planner: Planner,
        spread: Callable[[Engine], None],
        speed: Callable[[Engine], float],
    ) -> None:
        self._fleet = fleet
        self._planner = planner
        self._spread = spread
        self._speed = speed
        self._fresh: dict[str, float] = {}
        self._demand = {name: [0.0, 0.0] for name in fleet.deployment.models}
        self._pending: list[CopyMove] = []
        for engine in fleet.engines.values():
            engine.on_loaded = lambda _, engine=engine: spread(engine)

    def start(self, until: float) -> None:
        """Schedule planning, and the gossip of loaded adapters."""
        self._fleet.clock.every(PLAN_EVERY_S, until, self._step)
        self._fleet.clock.every(SPREAD_ADAPTERS_S, until, self._spread_all)

    def note_demand(self, arrival: Arrival) -> None:
        """Count a request's work."""
        self._fresh[arrival.base] = self._fresh.get(arrival.base, 0.0) + arrival.output_tokens

    def draining(self, engine: Engine) -> set[str]:
        """Return the models of an engine that take no new requests."""
        name = engine.upstream.name
        return {gone for move in self._pending if move.upstream == name for gone in move.evict}

    def _spread_all(self) -> None:
        for engine in self._fleet.live():
            self._spread(engine)

    def _step(self) -> None:
        for model, rates in self._demand.items():
            rate = self._fresh.get(model, 0.0) / PLAN_EVERY_S
            for index, horizon in enumerate((FAST_S, SLOW_S)):
                weight = 1.0 - math.exp(-PLAN_EVERY_S / horizon)
                rates[index] += weight * (rate - rates[index])
        self._fresh.clear()
        if not self._fleet.moves_allowed:
            self._pending.clear()
            return
        self._continue()
        # A copy that is drained takes seconds; other moves need not wait for it.
        if len(self._pending) < self._fleet.deployment.store.slots:
            for move in self._planner.plan(self._view(), self._fleet.clock.now):
                busy = any(pending.upstream == move.upstream for pending in self._pending)
                if self._fleet.engines[move.upstream].reachable and not busy:
                    self._pending.append(move)
                    self._spread(self._fleet.engines[move.upstream])
            self._continue()

    def _continue(self) -> None:
        for move in list(self._pending):
            engine = self._fleet.engines[move.upstream]
            if not engine.reachable:
                self._pending.remove(move)
                continue
            if any(name in engine.models and engine.uses(name) for name in move.evict):
                continue
            for name in move.evict:
                if name in engine.models:
                    engine.unload(name)
            engine.load(move.model)
            self._pending.remove(move)
            self._spread(engine)

    def _view(self) -> PlanView:
        engines = self._fleet.engines
        coming: dict[str, set[str]] = {name: set() for name in engines}
        for move in self._pending:
            coming[move.upstream].add(move.model)
        return PlanView(
            self._fleet.deployment,
            {
                name: frozenset(engine.models) - self.draining(engine)
                for name, engine in engines.items()
            },
            {name: frozenset(engine.loading) | coming[name] for name, engine in engines.items()},
            {model: max(rates) for model, rates in self._demand.items()},
            {name: self._speed(engine) for name, engine in engines.items()},
            self._fleet.store.waiting,
        )
