"""The placement planner of this project, run against the simulated engines."""

from collections.abc import Callable

from ..placement import (
    DemandEstimator,
    Item,
    ItemKind,
    ItemView,
    MoveKind,
    Planner,
    PlanView,
    UpstreamView,
)
from ..settings import Model
from .engine import Engine
from .fleet import Fleet
from .trace import MEAN_OUTPUT_TOKENS, Arrival

__all__ = ["PlacementDriver"]

PLAN_PERIOD_S = 1.0
ANNOUNCE_PERIOD_S = 1.0
# Minimum time that a new copy stays resident, as in ``placement``.
MIN_MODEL_RESIDENCY_S = 20.0


class PlacementDriver:
    """Estimates demand, runs the planner periodically, and carries out its moves.

    A copy is drained before it is unloaded. Engine orders, reservations and leases are not
    simulated: each move takes effect at once. Adapters are not planned: the engines load them on
    demand.
    """

    def __init__(
        self,
        fleet: Fleet,
        announce_residency: Callable[[Engine], None],
        speed: Callable[[Engine], float],
    ) -> None:
        self._fleet = fleet
        self._announce_residency = announce_residency
        self._speed = speed
        self._planner = Planner()
        self._estimator = DemandEstimator()
        self._draining: set[tuple[str, str]] = set()
        self._loaded_at: dict[tuple[str, str], float] = {}
        self._items = {
            model.name: ItemView(_item(model), model.memory_mib, min_replicas=model.min_replicas)
            for model in fleet.deployment.models.values()
        }
        for engine in fleet.engines.values():
            engine.on_loaded = lambda name, engine=engine: self._on_loaded(engine, name)

    def start(self, until: float) -> None:
        """Schedule the planning and the periodic announcement of loaded adapters."""
        self._fleet.clock.every(PLAN_PERIOD_S, until, self._run_planner)
        self._fleet.clock.every(ANNOUNCE_PERIOD_S, until, self._announce_all)

    def record_demand(self, arrival: Arrival) -> None:
        """Record a request in the demand estimate."""
        self._estimator.record(arrival.base, arrival.urgent, self._fleet.clock.now)

    def draining(self, engine: Engine) -> set[str]:
        """Return the models of an engine that are being drained and accept no new requests."""
        return {model for name, model in self._draining if name == engine.upstream.name}

    def _on_loaded(self, engine: Engine, model: str) -> None:
        self._loaded_at[(engine.upstream.name, model)] = self._fleet.clock.now
        self._announce_residency(engine)

    def _announce_all(self) -> None:
        for engine in self._fleet.reachable_engines():
            self._announce_residency(engine)

    def _run_planner(self) -> None:
        if not self._fleet.moves_allowed:
            for name, _ in self._draining:
                self._announce_residency(self._fleet.engines[name])
            self._draining.clear()
            return
        self._unload_drained()
        running_loads = sum(len(engine.loading) for engine in self._fleet.engines.values())
        max_moves = self._fleet.deployment.store.slots + 1 - running_loads
        if max_moves <= 0:
            return
        for move in self._planner.plan(self._plan_view(max_moves)):
            engine = self._fleet.engines[move.upstream]
            match move.kind:
                case MoveKind.UNLOAD:
                    self._draining.add((move.upstream, move.item.name))
                case MoveKind.LOAD:
                    engine.load(move.item.name)
            self._announce_residency(engine)
        self._unload_drained()

    def _unload_drained(self) -> None:
        for name, model in sorted(self._draining):
            engine = self._fleet.engines[name]
            if not engine.reachable:
                self._draining.discard((name, model))
            elif not engine.uses(model):
                engine.unload(model)
                self._draining.discard((name, model))
                self._announce_residency(engine)

    def _plan_view(self, max_moves: int) -> PlanView:
        now = self._fleet.clock.now
        upstreams = {
            engine.upstream.name: self._upstream_view(engine)
            for engine in self._fleet.reachable_engines()
        }
        demands = dict(self._estimator.demands(now))
        cost = self._fleet.deployment.site.move_cost
        return PlanView(self._items, upstreams, demands, cost, now, max_moves)

    def _upstream_view(self, engine: Engine) -> UpstreamView:
        models = self._fleet.deployment.models
        name = engine.upstream.name
        draining = self.draining(engine)
        staying = [models[model] for model in engine.models if model not in draining]
        in_memory = (*engine.models, *engine.loading)
        return UpstreamView(
            name,
            engine.upstream.domain,
            self._speed(engine) / MEAN_OUTPUT_TOKENS,
            engine.upstream.memory_mib - sum(models[model].memory_mib for model in in_memory),
            {model.name: _item(model) for model in staying},
            {model.name: model.memory_mib for model in staying},
            frozenset(engine.loading),
            sum(models[model].memory_mib for model in draining),
            {
                model.name: self._loaded_at.get((name, model.name), float("-inf"))
                + MIN_MODEL_RESIDENCY_S
                for model in staying
            },
        )


def _item(model: Model) -> Item:
    return Item(ItemKind.MODEL, model.name, model.version)
