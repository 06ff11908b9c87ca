"""Estimated distribution of the demand over the current copies."""

from dataclasses import dataclass, field

from .plan_view import PlanView

__all__ = ["LoadDistribution", "distribute_load"]

# Rounds of shifting load between the copies of an item.
BALANCING_ROUNDS = 4


@dataclass
class LoadDistribution:
    """Distribution of the demand over copies, in requests per second.

    ``share`` is the rate of each item on each upstream, ``load`` the total rate on each upstream,
    and ``overflow`` the part of the load that an overloaded upstream cannot serve.
    """

    share: dict[str, dict[str, float]] = field(default_factory=dict)
    load: dict[str, float] = field(default_factory=dict)
    overflow: dict[str, float] = field(default_factory=dict)

    def spare_rate(self, upstream: str, rate: float) -> float:
        """Return the rate that an upstream could serve in addition to its load."""
        return max(0.0, rate - self.load.get(upstream, 0.0))

    def relief(self, name: str) -> float:
        """Return the rate that another copy of an item could take over from its holders."""
        over = self.overflow
        return sum(min(s, over[u]) for u, s in self.share.get(name, {}).items() if u in over)

    def overloaded_items(self) -> list[tuple[float, str]]:
        """Return relief and name of each item with overloaded holders, largest relief first."""
        if not self.overflow:
            return []
        found = ((self.relief(name), name) for name in self.share)
        return sorted(((r, n) for r, n in found if r > 0.0), key=lambda pair: (-pair[0], pair[1]))

    def relieve(self, name: str, rate: float) -> None:
        """Subtract ``rate`` of an item from the overflow of its holders."""
        for upstream, share in self.share.get(name, {}).items():
            moved = min(share, self.overflow.get(upstream, 0.0), rate)
            if moved > 0.0:
                self.overflow[upstream] -= moved
                rate -= moved


def distribute_load(view: PlanView, holders: dict[str, list[str]]) -> LoadDistribution:
    """Distribute the expected demand of each item over its holders.

    Routing prefers upstreams with spare capacity. A few rounds that shift each share towards the
    less loaded upstreams approximate this.
    """
    distribution = LoadDistribution()
    rates = {name: max(u.rate, 1e-9) for name, u in view.upstreams.items()}
    for name, demanded in view.demands.items():
        demand = demanded.expected
        item_holders = holders.get(name, [])
        if demand <= 0.0 or name not in view.items:
            continue
        if not item_holders:
            continue
        total = sum(rates[u] for u in item_holders)
        distribution.share[name] = {u: demand * rates[u] / total for u in item_holders}
    for _ in range(BALANCING_ROUNDS):
        distribution.load = sum_loads(distribution.share)
        spread = {name: s for name, s in distribution.share.items() if len(s) > 1}
        if not spread:
            break
        for name, share in spread.items():
            demand = sum(share.values())
            weights = {u: s * rates[u] / max(distribution.load[u], 1e-9) for u, s in share.items()}
            total = sum(weights.values())
            distribution.share[name] = {u: demand * w / total for u, w in weights.items()}
    distribution.load = sum_loads(distribution.share)
    distribution.overflow = {
        u: load - rates[u] for u, load in distribution.load.items() if load > rates[u]
    }
    return distribution


def sum_loads(shares: dict[str, dict[str, float]]) -> dict[str, float]:
    """Return the total rate on each upstream."""
    loads: dict[str, float] = {}
    for share in shares.values():
        for upstream, rate in share.items():
            loads[upstream] = loads.get(upstream, 0.0) + rate
    return loads
