"""Draft of a plan: the planner's view with the moves chosen so far."""

from dataclasses import dataclass, field

from .engine import ItemKind
from .load_distribution import LoadDistribution
from .plan_view import ADAPTER_MIN_RESIDENCY_S, ItemView, Move, MoveKind, PlanView, UpstreamView

__all__ = ["EVICTION_GAIN_FACTOR", "GAIN_HORIZON_S", "PlanDraft", "can_load", "find_holders"]

# Time over which the gain of a new copy is counted. Bursts last tens of seconds.
GAIN_HORIZON_S = 30.0
# The gain of a copy that needs an eviction must exceed its cost by this factor, so that two items
# with similar demand do not evict each other in turn.
EVICTION_GAIN_FACTOR = 1.5


@dataclass
class PlanDraft:
    """View of the planner with the moves chosen so far applied.

    ``free`` is the free memory of each upstream in MiB, ``evicted`` contains pairs of upstream and
    item name, and ``waiting`` maps models that cannot be placed to the reason.
    """

    view: PlanView
    holders: dict[str, list[str]]
    free: dict[str, int]
    distribution: LoadDistribution = field(default_factory=LoadDistribution)
    moves: list[Move] = field(default_factory=list)
    evicted: set[tuple[str, str]] = field(default_factory=set)
    waiting: dict[str, str] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether the plan contains the maximum number of moves."""
        return len(self.moves) >= self.view.max_moves

    def is_protected(self, upstream: UpstreamView, name: str) -> bool:
        """Return whether a copy must not be evicted now."""
        now = self.view.now
        if now < upstream.protected_until_s.get(name, float("-inf")):
            return True
        item = self.view.items.get(name)
        if item is None:
            return False
        used = item.base and now < self.view.demand(name).last_s + ADAPTER_MIN_RESIDENCY_S
        return item.frozen or bool(used)

    def is_surplus(self, item: ItemView) -> bool:
        """Return whether a copy can be evicted without violating the minimum number of replicas.

        Copies that are still loading do not count as replicas. An adapter needs no replica.
        """
        if item.item.kind is ItemKind.ADAPTER:
            return True
        name = item.item.name
        loaded = sum(name in self.view.upstreams[u].copies for u in self.holders.get(name, ()))
        return loaded > max(1, item.min_replicas)

    def rate_on(self, upstream: UpstreamView, name: str) -> float:
        """Return the request rate of an item on an upstream."""
        return self.distribution.share.get(name, {}).get(upstream.name, 0.0)

    def eviction_loss(self, upstream: UpstreamView, name: str) -> float:
        """Return the request rate that would no longer be served if a copy were evicted.

        On an overloaded upstream, other items use the capacity that the eviction frees.
        """
        load = self.distribution.load.get(upstream.name, 0.0)
        without = load - self.rate_on(upstream, name)
        dropped = min(load, upstream.rate) - min(without, upstream.rate)
        others = (u for u in self.holders.get(name, ()) if u != upstream.name)
        spare = sum(self.distribution.spare_rate(u, self.view.upstreams[u].rate) for u in others)
        item = self.view.items.get(name)
        # An evicted adapter is loaded again on demand, which costs one more move.
        used = item is not None and item.base and self.view.demand(name).retained > 0.0
        return max(0.0, dropped - spare) + (self.view.move_cost / GAIN_HORIZON_S if used else 0.0)

    def memory_freed_by(self, upstream: UpstreamView, name: str) -> int:
        """Return the memory freed by evicting a copy and the adapters based on it, in MiB."""
        freed_mib = upstream.memory_mib.get(name, 0)
        for other in upstream.copies:
            item = self.view.items.get(other)
            if item is not None and item.base == name:
                freed_mib += upstream.memory_mib.get(other, 0)
        return freed_mib

    def missing_mib(self, upstream: UpstreamView, needed_mib: int) -> int:
        """Return the memory in MiB that is needed beyond that which is free or being freed."""
        return needed_mib - self.free[upstream.name] - upstream.retiring_mib

    def choose_evictions(self, upstream: UpstreamView, needed_mib: int) -> list[str] | None:
        """Return the cheapest copies to evict for ``needed_mib``, or None if that is impossible."""
        missing_mib = self.missing_mib(upstream, needed_mib)
        if missing_mib <= 0:
            return []
        options: list[tuple[float, float, str, int]] = []
        for name in upstream.copies:
            if (upstream.name, name) in self.evicted or self.is_protected(upstream, name):
                continue
            item = self.view.items.get(name)
            freed_mib = self.memory_freed_by(upstream, name)
            if item is None:
                options.append((-1.0, 0.0, name, freed_mib))
            elif self.is_surplus(item):
                loss = self.eviction_loss(upstream, name)
                options.append((loss, self.view.demand(name).last_s, name, freed_mib))
        chosen: list[str] = []
        for _, _, name, freed_mib in sorted(options):
            if missing_mib <= 0:
                break
            chosen.append(name)
            missing_mib -= freed_mib
        return chosen if missing_mib <= 0 else None

    def add_copy(
        self, item: ItemView, upstream_name: str, evict: list[str], reason: str, gain: float = 0.0
    ) -> None:
        """Add the moves for one new copy.

        The load is added only if enough memory is free already. Memory that is still being freed
        is reserved for the item.
        """
        upstream = self.view.upstreams[upstream_name]
        name = item.item.name
        self.add_unloads(name, upstream_name, evict)
        if not evict and self.free[upstream_name] >= item.memory_mib:
            self.moves.append(
                Move(MoveKind.LOAD, upstream_name, item.item, item.memory_mib, reason, gain)
            )
        self.free[upstream_name] -= item.memory_mib
        self.holders.setdefault(name, []).append(upstream_name)
        moved = min(
            self.distribution.relief(name),
            self.distribution.spare_rate(upstream_name, upstream.rate),
        )
        self.distribution.relieve(name, moved)
        load = self.distribution.load
        load[upstream_name] = load.get(upstream_name, 0.0) + moved

    def add_unloads(self, purpose: str, upstream_name: str, evict: list[str]) -> None:
        """Add the unloads of ``evict`` on an upstream, which free memory for ``purpose``."""
        upstream = self.view.upstreams[upstream_name]
        for victim in evict:
            memory_mib = upstream.memory_mib.get(victim, 0)
            item = upstream.copies[victim]
            reason = f"room for {purpose}"
            self.moves.append(Move(MoveKind.UNLOAD, upstream_name, item, memory_mib, reason))
            self.evicted.add((upstream_name, victim))
            self.holders[victim].remove(upstream_name)
            share = self.distribution.share.get(victim, {}).pop(upstream_name, 0.0)
            load = self.distribution.load
            load[upstream_name] = load.get(upstream_name, 0.0) - share


def find_holders(view: PlanView) -> dict[str, list[str]]:
    """Return the upstreams on which each item is resident or loading, except retiring copies."""
    holders: dict[str, list[str]] = {}
    for upstream in view.upstreams.values():
        for name in upstream.copies:
            holders.setdefault(name, []).append(upstream.name)
        for name in upstream.loading:
            if name not in upstream.copies:
                holders.setdefault(name, []).append(upstream.name)
    return holders


def can_load(upstream: UpstreamView, name: str) -> bool:
    """Return whether a copy of an item may be loaded on an upstream."""
    excluded = name in upstream.copies or name in upstream.loading or name in upstream.backing_off
    return not excluded
