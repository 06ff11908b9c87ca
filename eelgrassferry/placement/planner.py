"""Chooses moves."""

from dataclasses import dataclass, field

from .engine import ItemKind
from .served import Served, estimate_served
from .view import ADAPTER_STAY_S, ItemPlan, Move, MoveKind, PlanView, UpstreamPlan

__all__ = ["Planner"]

# Time over which a new copy is taken to pay off. Bursts last tens of seconds; a longer horizon
# made the planner follow noise.
HORIZON_S = 30.0
# A move that evicts must gain this multiple of its cost, so that two items of similar demand do
# not take turns on one upstream.
EVICT_FACTOR = 1.5
# Models whose replicas are weighed in one plan, by unmet demand.
MAX_CANDIDATES = 16


@dataclass
class _Work:
    """The view with the moves decided so far applied."""

    view: PlanView
    holders: dict[str, list[str]]
    free: dict[str, int]
    served: Served = field(default_factory=Served)
    moves: list[Move] = field(default_factory=list)
    evicted: set[tuple[str, str]] = field(default_factory=set)
    waiting: dict[str, str] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        return len(self.moves) >= self.view.max_moves


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
        work = _Work(view, count_holders(view), {n: u.free_mib for n, u in view.upstreams.items()})
        work.served = estimate_served(view, work.holders)
        self._place_missing(work)
        for name in view.make_room:
            self._make_room(work, name)
        if not work.is_full:
            self._place_gainful(work)
        self.waiting = work.waiting
        return tuple(work.moves)

    def _place_missing(self, work: _Work) -> None:
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
            reason = "min_replicas" if held else "no copy"
            found = self._choose_room(work, item)
            if found is None:
                if not held and not self._move_away(work, item):
                    work.waiting[name] = f"no upstream can make {item.memory_mib} MiB free"
                continue
            upstream, evict = found
            apply(work, item, upstream, evict, reason, gain=0.0)

    def _make_room(self, work: _Work, name: str) -> None:
        """Evict surplus copies where that lets the new version of an item fit."""
        item = work.view.items[name]
        best: tuple[int, str, list[str]] | None = None
        for upstream in work.view.upstreams.values():
            evict = self._choose_evictions(work, upstream, item.memory_mib)
            if evict is not None and (best is None or (len(evict), upstream.name) < best[:2]):
                best = (len(evict), upstream.name, evict)
        if best is None:
            self._move_away(work, item)
        elif best[0] and not work.is_full:
            unload_all(work, f"new version of {name}", best[1], best[2])

    def _move_away(self, work: _Work, item: ItemPlan) -> bool:
        """Load another model's last copy elsewhere, so that it can leave and make room.

        Returns True also while such a load is under way; the eviction follows in a later plan.
        """
        best: tuple[int, str, str] | None = None
        for upstream in work.view.upstreams.values():
            if item.item.name in upstream.loading or item.item.name in upstream.barred:
                continue
            missing_mib = item.memory_mib - work.free[upstream.name] - upstream.retiring_mib
            for name in upstream.copies:
                other = work.view.items.get(name)
                if other is None or other.item.kind is ItemKind.ADAPTER or other.frozen:
                    continue
                if name == item.item.name or freed_by(work, upstream, name) < missing_mib:
                    continue
                holders = work.holders[name]
                if any(name in work.view.upstreams[u].loading for u in holders):
                    return True
                for place in work.view.upstreams.values():
                    fits = work.free[place.name] >= other.memory_mib and can_hold(place, name)
                    if not fits or place.name == upstream.name:
                        continue
                    if best is None or (other.memory_mib, name, place.name) < best:
                        best = (other.memory_mib, name, place.name)
        if best is None:
            return False
        _, name, place_name = best
        apply(work, work.view.items[name], place_name, [], f"away for {item.item.name}", 0.0)
        return True

    def _choose_room(self, work: _Work, item: ItemPlan) -> tuple[str, list[str]] | None:
        """Return the best upstream for an item and the copies to evict there."""
        name = item.item.name
        held = set(work.holders.get(name, ()))
        domains = [work.view.upstreams[u].domain for u in held]
        best: tuple[tuple[float, ...], str, list[str]] | None = None
        for upstream in work.view.upstreams.values():
            if upstream.name in held or not can_hold(upstream, name):
                continue
            evict = self._choose_evictions(work, upstream, item.memory_mib)
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

    def _choose_evictions(
        self, work: _Work, upstream: UpstreamPlan, needed_mib: int
    ) -> list[str] | None:
        """Return the cheapest copies to evict for ``needed_mib``, or None where that fails."""
        missing_mib = needed_mib - work.free[upstream.name] - upstream.retiring_mib
        if missing_mib <= 0:
            return []
        options: list[tuple[float, float, str, int]] = []
        for name in upstream.copies:
            now = work.view.now
            fixed = now < upstream.fixed_until_s.get(name, float("-inf"))
            if fixed or (upstream.name, name) in work.evicted:
                continue
            item = work.view.items.get(name)
            if (
                item is not None
                and item.base
                and now < work.view.demand(name).last_s + ADAPTER_STAY_S
            ):
                continue
            freed_mib = freed_by(work, upstream, name)
            if item is None:
                options.append((-1.0, 0.0, name, freed_mib))
                continue
            if item.frozen or not is_surplus(work, item):
                continue
            loss = loss_of(work, upstream, name)
            options.append((loss, work.view.demand(name).last_s, name, freed_mib))
        chosen: list[str] = []
        for _, _, name, freed_mib in sorted(options):
            if missing_mib <= 0:
                break
            chosen.append(name)
            missing_mib -= freed_mib
        return chosen if missing_mib <= 0 else None

    def _place_gainful(self, work: _Work) -> None:
        unmet = sorted(((-rate, name) for name, rate in work.served.unmet.items()))
        for negative, name in unmet[:MAX_CANDIDATES]:
            if work.is_full:
                return
            item = work.view.items[name]
            if -negative * HORIZON_S <= work.view.move_cost:
                return
            if item.frozen or not work.holders.get(name):
                continue
            self._add_copy(work, item, -negative)

    def _add_copy(self, work: _Work, item: ItemPlan, unmet: float) -> None:
        name = item.item.name
        held = set(work.holders.get(name, ()))
        if any(name in work.view.upstreams[u].loading for u in held):
            return
        bases = set(work.holders.get(item.base, ())) if item.base else None
        domains = [work.view.upstreams[u].domain for u in held]
        best: tuple[float, int, str, list[str]] | None = None
        for upstream in work.view.upstreams.values():
            if upstream.name in held or not can_hold(upstream, name):
                continue
            if bases is not None and upstream.name not in bases:
                continue
            added = min(unmet, work.served.spare(upstream.name, upstream.rate))
            if added * HORIZON_S <= work.view.move_cost or (
                best is not None and added * HORIZON_S - work.view.move_cost < best[0]
            ):
                continue
            evict = self._choose_evictions(work, upstream, item.memory_mib)
            if evict is None:
                continue
            loss = sum(loss_of(work, upstream, victim) for victim in evict)
            cost = work.view.move_cost * (1 + len(evict))
            gain = (added - loss) * HORIZON_S
            if gain <= cost * (EVICT_FACTOR if evict else 1.0):
                continue
            entry = (gain - cost, -domains.count(upstream.domain), upstream.name, evict)
            if best is None or entry[:3] > best[:3]:
                best = entry
        if best is not None:
            apply(work, item, best[2], best[3], "demand", gain=best[0])


def count_holders(view: PlanView) -> dict[str, list[str]]:
    """Return the upstreams that hold or load each item; a retiring copy does not count."""
    holders: dict[str, list[str]] = {}
    for upstream in view.upstreams.values():
        for name in upstream.copies:
            holders.setdefault(name, []).append(upstream.name)
        for name in upstream.loading:
            if name not in upstream.copies:
                holders.setdefault(name, []).append(upstream.name)
    return holders


def can_hold(upstream: UpstreamPlan, name: str) -> bool:
    """Return whether a copy of an item may be added on an upstream."""
    taken = name in upstream.copies or name in upstream.loading or name in upstream.barred
    return not taken


def is_surplus(work: _Work, item: ItemPlan) -> bool:
    """Return whether a copy may be evicted without going below the copies that must stay.

    A copy that is still loading does not count as one that stays.
    """
    if item.item.kind is ItemKind.ADAPTER:
        return True
    name = item.item.name
    kept = sum(name in work.view.upstreams[u].copies for u in work.holders.get(name, ()))
    return kept > max(1, item.min_replicas)


def loss_of(work: _Work, upstream: UpstreamPlan, name: str) -> float:
    """Return the rate that would no longer be served without a copy."""
    share = work.served.share.get(name, {}).get(upstream.name, 0.0)
    others = (u for u in work.holders.get(name, ()) if u != upstream.name)
    room = sum(work.served.spare(u, work.view.upstreams[u].rate) for u in others)
    item = work.view.items.get(name)
    # An adapter is reloaded on demand, which costs one more move.
    used = item is not None and item.base and work.view.demand(name).kept > 0.0
    reload = 1.0 if used else 0.0
    return max(0.0, share - room) + reload * work.view.move_cost / HORIZON_S


def freed_by(work: _Work, upstream: UpstreamPlan, name: str) -> int:
    """Return the memory that evicting a copy frees, with the adapters that ride on it."""
    freed_mib = upstream.memory_mib.get(name, 0)
    for other in upstream.copies:
        item = work.view.items.get(other)
        if item is not None and item.base == name:
            freed_mib += upstream.memory_mib.get(other, 0)
    return freed_mib


def apply(
    work: _Work, item: ItemPlan, upstream_name: str, evict: list[str], reason: str, gain: float
) -> None:
    """Add the moves for one new copy, and count them in the working view."""
    upstream = work.view.upstreams[upstream_name]
    name = item.item.name
    unload_all(work, name, upstream_name, evict)
    if not evict and work.free[upstream_name] >= item.memory_mib:
        work.moves.append(
            Move(MoveKind.LOAD, upstream_name, item.item, item.memory_mib, reason, gain)
        )
    # Room that is still being freed is kept for this item.
    work.free[upstream_name] -= item.memory_mib
    work.holders.setdefault(name, []).append(upstream_name)
    demand = work.served.unmet.get(name, 0.0)
    load = work.served.load.get(upstream_name, 0.0)
    work.served.load[upstream_name] = min(upstream.rate, load + demand)


def unload_all(work: _Work, purpose: str, upstream_name: str, evict: list[str]) -> None:
    """Add the unloads that make room."""
    upstream = work.view.upstreams[upstream_name]
    for victim in evict:
        memory_mib = upstream.memory_mib.get(victim, 0)
        held = upstream.copies[victim]
        reason = f"room for {purpose}"
        work.moves.append(Move(MoveKind.UNLOAD, upstream_name, held, memory_mib, reason))
        work.evicted.add((upstream_name, victim))
        work.holders[victim].remove(upstream_name)
        share = work.served.share.get(victim, {}).pop(upstream_name, 0.0)
        work.served.load[upstream_name] = work.served.load.get(upstream_name, 0.0) - share
