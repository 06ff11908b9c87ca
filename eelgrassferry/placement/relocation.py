"""Relocation of the last copy of a model to another upstream, which frees its memory."""

from dataclasses import dataclass

from .engine import ItemKind
from .plan_draft import EVICTION_GAIN_FACTOR, GAIN_HORIZON_S, PlanDraft, can_load
from .plan_view import ItemView, UpstreamView

__all__ = ["relocate_for_demand", "relocate_to_free_memory"]

# Upstreams, and copies on each of them, that ``relocate_for_demand`` considers. The best ones are
# nearly always among the first.
MAX_TARGET_UPSTREAMS = 4
MAX_COPIES_PER_TARGET = 2


@dataclass(frozen=True)
class _Destination:
    """Destination of a copy, the copies to evict there, and the request rate lost by that."""

    upstream: str
    evict: tuple[str, ...]
    loss: float


def relocate_to_free_memory(draft: PlanDraft, item: ItemView) -> bool:
    """Load another model elsewhere, so that its last copy can be evicted to free memory.

    Returns whether such a load was added or is already in progress. The eviction follows in a
    later plan.
    """
    name = item.item.name
    best: tuple[int, str, str] | None = None
    for upstream in draft.view.upstreams.values():
        if name in upstream.loading or name in upstream.backing_off:
            continue
        missing_mib = draft.missing_mib(upstream, item.memory_mib)
        for other in relocatable_models(draft, upstream, name, missing_mib):
            if is_relocating(draft, other):
                return True
            moved = draft.view.items[other]
            for destination in draft.view.upstreams.values():
                if destination.name == upstream.name or not can_load(destination, other):
                    continue
                if draft.free[destination.name] < moved.memory_mib:
                    continue
                if best is None or (moved.memory_mib, other, destination.name) < best:
                    best = (moved.memory_mib, other, destination.name)
    if best is None:
        return False
    _, other, destination_name = best
    draft.add_copy(draft.view.items[other], destination_name, [], f"away for {name}")
    return True


def relocate_for_demand(draft: PlanDraft, item: ItemView, relief: float) -> bool:
    """Relocate a little used last copy from a fast or idle upstream that the item needs.

    The relocation takes three moves: the load at the destination, the unload here, and the load
    of the item. A surplus copy that has to be evicted from the destination adds a fourth. The
    relocation is started only if the gain exceeds the cost of all moves. Each plan makes the next
    move. Returns whether a relocation was started or is in progress.
    """
    name = item.item.name
    holders = set(draft.holders[name])
    targets = sorted(
        (
            (min(relief, draft.distribution.spare_rate(u.name, u.rate)), u.name)
            for u in draft.view.upstreams.values()
            if u.name not in holders and can_load(u, name)
        ),
        reverse=True,
    )[:MAX_TARGET_UPSTREAMS]
    best: tuple[float, str, _Destination] | None = None
    for added, target in targets:
        if added * GAIN_HORIZON_S <= 3 * draft.view.move_cost * EVICTION_GAIN_FACTOR:
            break
        upstream = draft.view.upstreams[target]
        missing_mib = draft.missing_mib(upstream, item.memory_mib)
        others = relocatable_models(draft, upstream, name, missing_mib)
        if any(is_relocating(draft, other) for other in others):
            return True
        others.sort(key=lambda other, up=upstream: (draft.rate_on(up, other), other))
        for other in others[:MAX_COPIES_PER_TARGET]:
            destination = find_destination(draft, draft.view.items[other], upstream)
            if destination is None:
                continue
            cost = draft.view.move_cost * (3 + len(destination.evict))
            gain = (added - destination.loss) * GAIN_HORIZON_S
            if gain > cost * EVICTION_GAIN_FACTOR and (best is None or gain - cost > best[0]):
                best = (gain - cost, other, destination)
    if best is None:
        return False
    gain, other, destination = best
    draft.add_copy(
        draft.view.items[other],
        destination.upstream,
        list(destination.evict),
        f"away for {name}",
        gain,
    )
    return True


def relocatable_models(
    draft: PlanDraft, upstream: UpstreamView, name: str, missing_mib: int
) -> list[str]:
    """Return the models whose eviction would free ``missing_mib`` on an upstream."""
    found: list[str] = []
    for other in upstream.copies:
        item = draft.view.items.get(other)
        if other == name or item is None or item.item.kind is ItemKind.ADAPTER:
            continue
        if (
            not draft.is_protected(upstream, other)
            and draft.memory_freed_by(upstream, other) >= missing_mib
        ):
            found.append(other)
    return found


def is_relocating(draft: PlanDraft, name: str) -> bool:
    """Return whether another copy of an item is being loaded."""
    return any(name in draft.view.upstreams[u].loading for u in draft.holders[name])


def find_destination(draft: PlanDraft, item: ItemView, source: UpstreamView) -> _Destination | None:
    """Return the destination with the least loss, or None.

    At most one surplus copy is evicted there.
    """
    name = item.item.name
    share = draft.rate_on(source, name)
    best: _Destination | None = None
    for upstream in draft.view.upstreams.values():
        if upstream.name == source.name or not can_load(upstream, name):
            continue
        evict = draft.choose_evictions(upstream, item.memory_mib)
        if evict is None or len(evict) > 1:
            continue
        loss = sum(draft.eviction_loss(upstream, victim) for victim in evict)
        loss += max(0.0, share - draft.distribution.spare_rate(upstream.name, upstream.rate))
        if best is None or (len(evict), loss) < (len(best.evict), best.loss):
            best = _Destination(upstream.name, tuple(evict), loss)
    return best
