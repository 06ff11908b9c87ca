"""Planner that selects loads and unloads."""

from .engine import ItemKind
from .load_distribution import distribute_load
from .plan_draft import EVICTION_GAIN_FACTOR, GAIN_HORIZON_S, PlanDraft, can_load, find_holders
from .plan_view import ItemView, Move, PlanView
from .relocation import relocate_for_demand, relocate_to_free_memory

__all__ = ["Planner"]

# Overloaded items considered for another copy in one plan, those with the largest relief first.
MAX_CANDIDATES = 16


class Planner:
    """Planner that returns a short list of moves in order of priority.

    Models without a copy come first, then models below ``min_replicas``, then additional copies.
    An additional copy must gain more requests served within target over ``GAIN_HORIZON_S`` than
    ``move_cost`` for each of its moves. Copies are unloaded only to free memory. If a load needs
    memory that is in use, the plan contains only the unloads; a later plan contains the load, once
    the engine has confirmed that the memory is free.

    After a plan, ``waiting`` maps each model that has no copy, and cannot get one, to the reason.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, str] = {}

    def plan(self, view: PlanView) -> tuple[Move, ...]:
        """Return the moves to start now, in order of priority."""
        free = {name: upstream.free_mib for name, upstream in view.upstreams.items()}
        draft = PlanDraft(view, find_holders(view), free)
        draft.distribution = distribute_load(view, draft.holders)
        self._place_missing_copies(draft)
        for name in view.changes_needing_memory:
            self._free_memory_for_change(draft, name)
        self._place_beneficial_copies(draft)
        self.waiting = draft.waiting
        return tuple(draft.moves)

    def _place_missing_copies(self, draft: PlanDraft) -> None:
        short: list[tuple[int, float, int, str]] = []
        for name, item in draft.view.items.items():
            copy_count = len(draft.holders.get(name, ()))
            if item.item.kind is ItemKind.MODEL and copy_count < max(1, item.min_replicas):
                if copy_count and item.frozen:
                    continue
                short.append(
                    (copy_count, -draft.view.demand(name).retained, -item.memory_mib, name)
                )
        for copy_count, _, _, name in sorted(short):
            if draft.is_full:
                return
            item = draft.view.items[name]
            found = self._choose_upstream(draft, item)
            if found is not None:
                draft.add_copy(
                    item, found[0], found[1], "min_replicas" if copy_count else "no copy"
                )
            elif not copy_count and not relocate_to_free_memory(draft, item):
                draft.waiting[name] = f"no upstream can make {item.memory_mib} MiB free"

    def _free_memory_for_change(self, draft: PlanDraft, name: str) -> None:
        """Evict surplus copies on one upstream so that the new version of an item fits there."""
        item = draft.view.items[name]
        best: tuple[int, str, list[str]] | None = None
        for upstream in draft.view.upstreams.values():
            evict = draft.choose_evictions(upstream, item.memory_mib)
            if evict is not None and (best is None or (len(evict), upstream.name) < best[:2]):
                best = (len(evict), upstream.name, evict)
        if best is None:
            relocate_to_free_memory(draft, item)
        elif best[0] and not draft.is_full:
            draft.add_unloads(f"new version of {name}", best[1], best[2])

    def _choose_upstream(self, draft: PlanDraft, item: ItemView) -> tuple[str, list[str]] | None:
        """Return the best upstream for an item and the copies to evict there, or None."""
        name = item.item.name
        current = set(draft.holders.get(name, ()))
        domains = [draft.view.upstreams[u].domain for u in current]
        best: tuple[tuple[float, ...], str, list[str]] | None = None
        for upstream in draft.view.upstreams.values():
            if upstream.name in current or not can_load(upstream, name):
                continue
            evict = draft.choose_evictions(upstream, item.memory_mib)
            if evict is None:
                continue
            score = (
                float(domains.count(upstream.domain)),
                float(len(evict)),
                -draft.distribution.spare_rate(upstream.name, upstream.rate)
                / max(upstream.rate, 1e-9),
                float(-draft.free[upstream.name]),
            )
            if best is None or (score, upstream.name) < (best[0], best[1]):
                best = (score, upstream.name, evict)
        return (best[1], best[2]) if best else None

    def _place_beneficial_copies(self, draft: PlanDraft) -> None:
        for _, name in draft.distribution.overloaded_items()[:MAX_CANDIDATES]:
            if draft.is_full:
                return
            item = draft.view.items[name]
            relief = draft.distribution.relief(name)
            if item.frozen or relief * GAIN_HORIZON_S <= draft.view.move_cost:
                continue
            if any(name in draft.view.upstreams[u].loading for u in draft.holders[name]):
                continue
            if not self._add_copy(draft, item, relief) and not item.base:
                relocate_for_demand(draft, item, relief)

    def _add_copy(self, draft: PlanDraft, item: ItemView, relief: float) -> bool:
        """Add the copy with the largest net gain; return whether there is a worthwhile one."""
        name = item.item.name
        current = set(draft.holders[name])
        bases = set(draft.holders.get(item.base, ())) if item.base else None
        domains = [draft.view.upstreams[u].domain for u in current]
        move_cost = draft.view.move_cost
        best: tuple[float, int, str, list[str]] | None = None
        for upstream in draft.view.upstreams.values():
            if upstream.name in current or not can_load(upstream, name):
                continue
            if bases is not None and upstream.name not in bases:
                continue
            added = min(relief, draft.distribution.spare_rate(upstream.name, upstream.rate))
            most = added * GAIN_HORIZON_S - move_cost
            if most <= 0.0 or (best is not None and most < best[0]):
                continue
            evict = draft.choose_evictions(upstream, item.memory_mib)
            if evict is None:
                continue
            loss = sum(draft.eviction_loss(upstream, victim) for victim in evict)
            cost = move_cost * (1 + len(evict))
            gain = (added - loss) * GAIN_HORIZON_S
            if gain <= cost * (EVICTION_GAIN_FACTOR if evict else 1.0):
                continue
            entry = (gain - cost, -domains.count(upstream.domain), upstream.name, evict)
            if best is None or entry[:3] > best[:3]:
                best = entry
        if best is None:
            return False
        draft.add_copy(item, best[2], best[3], "demand", gain=best[0])
        return True
