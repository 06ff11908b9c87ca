"""The protocol of a placement planner in the benchmark, and a simple stand-in."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from ..settings import Deployment

__all__ = ["CopyMove", "PlanView", "Planner", "StandInPlanner"]


@dataclass(frozen=True)
class PlanView:
    """What a planner sees.

    ``demand`` is the offered work of each model, in decode tokens/s, smoothed over a few seconds
    and over a minute, whichever is more. ``busy`` names copies that run something.
    """

    deployment: Deployment
    residents: Mapping[str, frozenset[str]]
    loading: Mapping[str, frozenset[str]]
    demand: Mapping[str, float]
    speed: Mapping[str, float]
    loads_waiting: int


@dataclass(frozen=True)
class CopyMove:
    """Load ``model`` on ``upstream`` after unloading ``evict`` there."""

    upstream: str
    model: str
    evict: tuple[str, ...] = ()


class Planner(Protocol):
    """Decides which copies to load and unload."""

    def plan(self, view: PlanView, now: float) -> tuple[CopyMove, ...]:
        """Return the moves to start now."""


class StandInPlanner:
    """Adds a copy where a model's copies are overloaded and another engine has speed to spare.

    The load of an engine is the demand of its models, each split over its copies in proportion to
    speed. A move is made when it lowers the overload by at least ``gain`` tokens/s, and never
    evicts a last copy or a copy on an overloaded model.
    """

    def __init__(self, gain: float = 60.0, hold_s: float = 20.0, target: float = 0.75) -> None:
        self._gain = gain
        self._hold_s = hold_s
        self._target = target
        self._touched: dict[tuple[str, str], float] = {}

    def plan(self, view: PlanView, now: float) -> tuple[CopyMove, ...]:
        """Return at most one move: the one that relieves the most overload."""
        if view.loads_waiting:
            return ()
        holders = self._holders(view)
        before = self._overload(view, holders)
        best: tuple[float, CopyMove] | None = None
        for model in view.deployment.models:
            if holders[model] and not self._is_tight(view, holders, model):
                continue
            for upstream, speed in view.speed.items():
                if upstream in holders[model] or speed <= 0:
                    continue
                evict = self._evictions(view, holders, upstream, model, now)
                if evict is None:
                    continue
                after = {name: set(at) for name, at in holders.items()}
                after[model].add(upstream)
                for name in evict:
                    after[name].discard(upstream)
                gain = before - self._overload(view, after) - 5.0 * len(evict)
                if not holders[model]:
                    gain += 1000.0 + view.demand.get(model, 0.0)
                if gain >= self._gain and (best is None or gain > best[0]):
                    best = gain, CopyMove(upstream, model, evict)
        if best is None:
            return ()
        self._touched[(best[1].upstream, best[1].model)] = now
        return (best[1],)

    def _holders(self, view: PlanView) -> dict[str, set[str]]:
        holders: dict[str, set[str]] = {name: set() for name in view.deployment.models}
        for table in (view.residents, view.loading):
            for upstream, names in table.items():
                if view.speed.get(upstream, 0.0) > 0:
                    for name in names:
                        holders[name].add(upstream)
        return holders

    def _loads(self, view: PlanView, holders: Mapping[str, set[str]]) -> dict[str, float]:
        """Return each engine's load as a share of its speed; copies fill up evenly."""
        loads = dict.fromkeys(view.speed, 0.0)
        for model in sorted(holders, key=lambda name: len(holders[name])):
            at = holders[model]
            total = sum(max(0.05, 1.2 - loads[name]) * view.speed[name] for name in at)
            for name in at:
                share = max(0.05, 1.2 - loads[name]) * view.speed[name] / total
                loads[name] += view.demand.get(model, 0.0) * share / view.speed[name]
        return loads

    def _overload(self, view: PlanView, holders: Mapping[str, set[str]]) -> float:
        loads = self._loads(view, holders)
        return sum(
            max(0.0, load - self._target) * view.speed[name]
            for name, load in loads.items()
            if view.speed[name] > 0
        )

    def _is_tight(self, view: PlanView, holders: Mapping[str, set[str]], model: str) -> bool:
        loads = self._loads(view, holders)
        return all(loads[name] > self._target for name in holders[model])

    def _evictions(
        self,
        view: PlanView,
        holders: Mapping[str, set[str]],
        upstream: str,
        model: str,
        now: float,
    ) -> tuple[str, ...] | None:
        models = view.deployment.models
        here = view.residents.get(upstream, frozenset()) | view.loading.get(upstream, frozenset())
        free = view.deployment.upstreams[upstream].memory_mib
        free -= sum(models[name].memory_mib for name in here)
        chosen: list[str] = []
        spare = sorted(
            (
                name
                for name in view.residents.get(upstream, frozenset())
                if len(holders[name]) > 1
                and now - self._touched.get((upstream, name), -1e9) >= self._hold_s
            ),
            key=lambda name: view.demand.get(name, 0.0) / len(holders[name]),
        )
        while free < models[model].memory_mib:
            if not spare:
                return None
            chosen.append(spare.pop(0))
            free += models[chosen[-1]].memory_mib
        return tuple(chosen)
