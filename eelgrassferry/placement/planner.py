"""Chooses moves."""

from .engine import ItemKind
from .plan_work import EVICT_FACTOR, HORIZON_S, PlanWork, can_hold, count_holders
from .relocate import exchange, move_away
from .served import estimate_served
from .view import ItemPlan, Move, PlanView

__all__ = ["Planner"]

# Items whose replicas are weighed in one plan, by the relief that they would bring.
MAX_CANDIDATES = 16


class Planner:
    """Returns a small list of moves, the most needed first.

    The order is: models without a copy, models below ``min_replicas``, then copies whose gain in
    requests served within target over ``HORIZON_S`` exceeds ``move_cost`` for every move they
    take. Nothing is unloaded except to make room. A load that needs room is returned as the
    unloads first; the load follows in a later plan, when the engine has confirmed the room.

    ``waiting`` gives, after a plan, the reason why a model has no copy and gets none.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, str] = {}

    def plan(self, view: PlanView) -> tuple[Move, ...]:
        """Return the moves to make now."""
        free = {name: upstream.free_mib for name, upstream in view.upstreams.items()}
        work = PlanWork(view, count_holders(view), free)
        work.served = estimate_served(view, work.holders)
        self._place_missing(work)
        for name in view.make_room:
            self._make_room(work, name)
        self._place_gainful(work)
        self.waiting = work.waiting
        return tuple(work.moves)

    def _place_missing(self, work: PlanWork) -> None:
        short: list[tuple[int, float, int, str]] = []
        for name, item in work.view.items.items():
            held = len(work.holders.get(name, ()))
            if item.item.kind is ItemKind.MODEL and held < max(1, item.min_replicas):
                if held and item.frozen:
                    continue
                short.append((held, -work.view.demand(name).kept, -item.memory_mib, name))
        for held, _, _, name in sorted(short):
            if work.is_full:
                return
            item = work.view.items[name]
            found = self._choose_room(work, item)
            if found is not None:
                work.add(item, found[0], found[1], "min_replicas" if held else "no copy")
            elif not held and not move_away(work, item):
                work.waiting[name] = f"no upstream can make {item.memory_mib} MiB free"

    def _make_room(self, work: PlanWork, name: str) -> None:
        """Evict surplus copies where that lets the new version of an item fit."""
        item = work.view.items[name]
        best: tuple[int, str, list[str]] | None = None
        for upstream in work.view.upstreams.values():
            evict = work.choose_evictions(upstream, item.memory_mib)
            if evict is not None and (best is None or (len(evict), upstream.name) < best[:2]):
                best = (len(evict), upstream.name, evict)
        if best is None:
            move_away(work, item)
        elif best[0] and not work.is_full:
            work.unload(f"new version of {name}", best[1], best[2])

    def _choose_room(self, work: PlanWork, item: ItemPlan) -> tuple[str, list[str]] | None:
        """Return the best upstream for an item and the copies to evict there."""
        name = item.item.name
        held = set(work.holders.get(name, ()))
        domains = [work.view.upstreams[u].domain for u in held]
        best: tuple[tuple[float, ...], str, list[str]] | None = None
        for upstream in work.view.upstreams.values():
            if upstream.name in held or not can_hold(upstream, name):
                continue
            evict = work.choose_evictions(upstream, item.memory_mib)
            if evict is None:
                continue
            score = (
                float(domains.count(upstream.domain)),
                float(len(evict)),
                -work.served.spare(upstream.name, upstream.rate) / max(upstream.rate, 1e-9),
                float(-work.free[upstream.name]),
            )
            if best is None or (score, upstream.name) < (best[0], best[1]):
                best = (score, upstream.name, evict)
        return (best[1], best[2]) if best else None

    def _place_gainful(self, work: PlanWork) -> None:
        for _, name in work.served.find_short()[:MAX_CANDIDATES]:
            if work.is_full:
                return
            item = work.view.items[name]
            relief = work.served.relief(name)
            if item.frozen or relief * HORIZON_S <= work.view.move_cost:
                continue
            if any(name in work.view.upstreams[u].loading for u in work.holders[name]):
                continue
            if not self._add_copy(work, item, relief) and not item.base:
                exchange(work, item, relief)

    def _add_copy(self, work: PlanWork, item: ItemPlan, relief: float) -> bool:
        """Add the most gainful copy, if any gains enough."""
        name = item.item.name
        held = set(work.holders[name])
        bases = set(work.holders.get(item.base, ())) if item.base else None
        domains = [work.view.upstreams[u].domain for u in held]
        move_cost = work.view.move_cost
        best: tuple[float, int, str, list[str]] | None = None
        for upstream in work.view.upstreams.values():
            if upstream.name in held or not can_hold(upstream, name):
                continue
            if bases is not None and upstream.name not in bases:
                continue
            added = min(relief, work.served.spare(upstream.name, upstream.rate))
            most = added * HORIZON_S - move_cost
            if most <= 0.0 or (best is not None and most < best[0]):
                continue
            evict = work.choose_evictions(upstream, item.memory_mib)
            if evict is None:
                continue
            loss = sum(work.loss_of(upstream, victim) for victim in evict)
            cost = move_cost * (1 + len(evict))
            gain = (added - loss) * HORIZON_S
            if gain <= cost * (EVICT_FACTOR if evict else 1.0):
                continue
            entry = (gain - cost, -domains.count(upstream.domain), upstream.name, evict)
            if best is None or entry[:3] > best[:3]:
                best = entry
        if best is None:
            return False
        work.add(item, best[2], best[3], "demand", gain=best[0])
        return True
