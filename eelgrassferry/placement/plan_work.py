"""The working state of one plan."""

from dataclasses import dataclass, field

from .engine import ItemKind
from .served import Served
from .view import ADAPTER_STAY_S, ItemPlan, Move, MoveKind, PlanView, UpstreamPlan

__all__ = ["EVICT_FACTOR", "HORIZON_S", "PlanWork", "can_hold", "count_holders"]

# Time over which a new copy is taken to pay off. Bursts last tens of seconds.
HORIZON_S = 30.0
# A move that evicts must gain this multiple of its cost, so that two items of similar demand do
# not take turns on one upstream.
EVICT_FACTOR = 1.5


@dataclass
class PlanWork:
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
        """Whether the plan has as many moves as it may have."""
        return len(self.moves) >= self.view.max_moves

    def is_fixed(self, upstream: UpstreamPlan, name: str) -> bool:
        """Whether a copy may not be evicted yet."""
        now = self.view.now
        if now < upstream.fixed_until_s.get(name, float("-inf")):
            return True
        item = self.view.items.get(name)
        if item is None:
            return False
        used = item.base and now < self.view.demand(name).last_s + ADAPTER_STAY_S
        return item.frozen or bool(used)

    def is_surplus(self, item: ItemPlan) -> bool:
        """Whether a copy may be evicted without going below the copies that must stay.

        A copy that is still loading does not count as one that stays.
        """
        if item.item.kind is ItemKind.ADAPTER:
            return True
        name = item.item.name
        kept = sum(name in self.view.upstreams[u].copies for u in self.holders.get(name, ()))
        return kept > max(1, item.min_replicas)

    def share(self, upstream: UpstreamPlan, name: str) -> float:
        """Return the rate of an item at an upstream."""
        return self.served.share.get(name, {}).get(upstream.name, 0.0)

    def loss_of(self, upstream: UpstreamPlan, name: str) -> float:
        """Return the rate that would no longer be served without a copy.

        On an overloaded upstream other items take up what the copy no longer uses.
        """
        load = self.served.load.get(upstream.name, 0.0)
        without = load - self.share(upstream, name)
        dropped = min(load, upstream.rate) - min(without, upstream.rate)
        others = (u for u in self.holders.get(name, ()) if u != upstream.name)
        room = sum(self.served.spare(u, self.view.upstreams[u].rate) for u in others)
        item = self.view.items.get(name)
        # An adapter is reloaded on demand, which costs one more move.
        used = item is not None and item.base and self.view.demand(name).kept > 0.0
        return max(0.0, dropped - room) + (self.view.move_cost / HORIZON_S if used else 0.0)

    def freed_by(self, upstream: UpstreamPlan, name: str) -> int:
        """Return the memory that evicting a copy frees, with the adapters that ride on it."""
        freed_mib = upstream.memory_mib.get(name, 0)
        for other in upstream.copies:
            item = self.view.items.get(other)
            if item is not None and item.base == name:
                freed_mib += upstream.memory_mib.get(other, 0)
        return freed_mib

    def missing_mib(self, upstream: UpstreamPlan, needed_mib: int) -> int:
        """Return the memory that has to be freed beyond what is free or being freed."""
        return needed_mib - self.free[upstream.name] - upstream.retiring_mib

    def choose_evictions(self, upstream: UpstreamPlan, needed_mib: int) -> list[str] | None:
        """Return the cheapest copies to evict for ``needed_mib``, or None where that fails."""
        missing_mib = self.missing_mib(upstream, needed_mib)
        if missing_mib <= 0:
            return []
        options: list[tuple[float, float, str, int]] = []
        for name in upstream.copies:
            if (upstream.name, name) in self.evicted or self.is_fixed(upstream, name):
                continue
            item = self.view.items.get(name)
            freed_mib = self.freed_by(upstream, name)
            if item is None:
                options.append((-1.0, 0.0, name, freed_mib))
            elif self.is_surplus(item):
                loss = self.loss_of(upstream, name)
                options.append((loss, self.view.demand(name).last_s, name, freed_mib))
        chosen: list[str] = []
        for _, _, name, freed_mib in sorted(options):
            if missing_mib <= 0:
                break
            chosen.append(name)
            missing_mib -= freed_mib
        return chosen if missing_mib <= 0 else None

    def add(
        self, item: ItemPlan, upstream_name: str, evict: list[str], reason: str, gain: float = 0.0
    ) -> None:
        """Add the moves for one new copy; a load follows only where its room is free already.

        Room that is still being freed is kept for the item.
        """
        upstream = self.view.upstreams[upstream_name]
        name = item.item.name
        self.unload(name, upstream_name, evict)
        if not evict and self.free[upstream_name] >= item.memory_mib:
            self.moves.append(
                Move(MoveKind.LOAD, upstream_name, item.item, item.memory_mib, reason, gain)
            )
        self.free[upstream_name] -= item.memory_mib
        self.holders.setdefault(name, []).append(upstream_name)
        moved = min(self.served.relief(name), self.served.spare(upstream_name, upstream.rate))
        self.served.relieve(name, moved)
        load = self.served.load
        load[upstream_name] = load.get(upstream_name, 0.0) + moved

    def unload(self, purpose: str, upstream_name: str, evict: list[str]) -> None:
        """Add the unloads that make room."""
        upstream = self.view.upstreams[upstream_name]
        for victim in evict:
            memory_mib = upstream.memory_mib.get(victim, 0)
            held = upstream.copies[victim]
            reason = f"room for {purpose}"
            self.moves.append(Move(MoveKind.UNLOAD, upstream_name, held, memory_mib, reason))
            self.evicted.add((upstream_name, victim))
            self.holders[victim].remove(upstream_name)
            share = self.served.share.get(victim, {}).pop(upstream_name, 0.0)
            load = self.served.load
            load[upstream_name] = load.get(upstream_name, 0.0) - share


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
