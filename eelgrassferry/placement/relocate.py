"""Moves a last copy to another upstream, so that the place it had can be used."""

from dataclasses import dataclass

from .engine import ItemKind
from .plan_work import EVICT_FACTOR, HORIZON_S, PlanWork, can_hold
from .view import ItemPlan, UpstreamPlan

__all__ = ["exchange", "move_away"]

# Upstreams and copies weighed for one exchange; the best are nearly always among the first.
MAX_TARGETS = 4
MAX_COPIES = 2


@dataclass(frozen=True)
class _Place:
    """Where a copy can go, what has to be evicted there, and the rate lost by that."""

    upstream: str
    evict: tuple[str, ...]
    loss: float


def move_away(work: PlanWork, item: ItemPlan) -> bool:
    """Load another model's last copy elsewhere, so that it can leave and make room for an item.

    Returns True also while such a load is under way; the eviction follows in a later plan.
    """
    name = item.item.name
    best: tuple[int, str, str] | None = None
    for upstream in work.view.upstreams.values():
        if name in upstream.loading or name in upstream.barred:
            continue
        missing_mib = work.missing_mib(upstream, item.memory_mib)
        for other in movable(work, upstream, name, missing_mib):
            if is_moving(work, other):
                return True
            moved = work.view.items[other]
            for place in work.view.upstreams.values():
                if place.name == upstream.name or not can_hold(place, other):
                    continue
                if work.free[place.name] < moved.memory_mib:
                    continue
                if best is None or (moved.memory_mib, other, place.name) < best:
                    best = (moved.memory_mib, other, place.name)
    if best is None:
        return False
    _, other, place_name = best
    work.add(work.view.items[other], place_name, [], f"away for {name}")
    return True


def exchange(work: PlanWork, item: ItemPlan, relief: float) -> bool:
    """Move a little used last copy away from a fast or idle upstream that the item needs.

    Takes three moves, or four where a surplus copy has to leave the other place first, and is
    begun only where the gain pays for all of them. Each plan makes the step that is next.
    """
    name = item.item.name
    held = set(work.holders[name])
    targets = sorted(
        (
            (min(relief, work.served.spare(u.name, u.rate)), u.name)
            for u in work.view.upstreams.values()
            if u.name not in held and can_hold(u, name)
        ),
        reverse=True,
    )[:MAX_TARGETS]
    best: tuple[float, str, _Place] | None = None
    for added, target in targets:
        if added * HORIZON_S <= 3 * work.view.move_cost * EVICT_FACTOR:
            break
        upstream = work.view.upstreams[target]
        missing_mib = work.missing_mib(upstream, item.memory_mib)
        others = movable(work, upstream, name, missing_mib)
        if any(is_moving(work, other) for other in others):
            return True
        others.sort(key=lambda other, up=upstream: (work.share(up, other), other))
        for other in others[:MAX_COPIES]:
            place = find_place(work, work.view.items[other], upstream)
            if place is None:
                continue
            cost = work.view.move_cost * (3 + len(place.evict))
            gain = (added - place.loss) * HORIZON_S
            if gain > cost * EVICT_FACTOR and (best is None or gain - cost > best[0]):
                best = (gain - cost, other, place)
    if best is None:
        return False
    gain, other, place = best
    work.add(work.view.items[other], place.upstream, list(place.evict), f"away for {name}", gain)
    return True


def movable(work: PlanWork, upstream: UpstreamPlan, name: str, missing_mib: int) -> list[str]:
    """Return the models whose leaving would free ``missing_mib`` on an upstream."""
    found: list[str] = []
    for other in upstream.copies:
        item = work.view.items.get(other)
        if other == name or item is None or item.item.kind is ItemKind.ADAPTER:
            continue
        if not work.is_fixed(upstream, other) and work.freed_by(upstream, other) >= missing_mib:
            found.append(other)
    return found


def is_moving(work: PlanWork, name: str) -> bool:
    """Return whether another copy of an item is being loaded."""
    return any(name in work.view.upstreams[u].loading for u in work.holders[name])


def find_place(work: PlanWork, item: ItemPlan, source: UpstreamPlan) -> _Place | None:
    """Return where a copy can go with the least loss, by evicting at most one surplus copy."""
    name = item.item.name
    share = work.share(source, name)
    best: _Place | None = None
    for upstream in work.view.upstreams.values():
        if upstream.name == source.name or not can_hold(upstream, name):
            continue
        evict = work.choose_evictions(upstream, item.memory_mib)
        if evict is None or len(evict) > 1:
            continue
        loss = sum(work.loss_of(upstream, victim) for victim in evict)
        loss += max(0.0, share - work.served.spare(upstream.name, upstream.rate))
        if best is None or (len(evict), loss) < (len(best.evict), best.loss):
            best = _Place(upstream.name, tuple(evict), loss)
    return best
