"""Estimate of what the present copies serve."""

from dataclasses import dataclass, field

from .view import PlanView

__all__ = ["Served", "estimate_served"]

ROUNDS = 4


@dataclass
class Served:
    """How demand spreads over copies, in requests per second.

    ``share`` is the rate of an item at an upstream, ``load`` the sum at an upstream, and
    ``overflow`` the part of the load that the upstream cannot serve.
    """

    share: dict[str, dict[str, float]] = field(default_factory=dict)
    load: dict[str, float] = field(default_factory=dict)
    overflow: dict[str, float] = field(default_factory=dict)

    def spare(self, upstream: str, rate: float) -> float:
        """Return the rate that an upstream could serve beyond its load."""
        return max(0.0, rate - self.load.get(upstream, 0.0))

    def relief(self, name: str) -> float:
        """Return the rate by which another copy of an item could relieve its holders."""
        over = self.overflow
        return sum(min(s, over[u]) for u, s in self.share.get(name, {}).items() if u in over)

    def find_short(self) -> list[tuple[float, str]]:
        """Return the items whose holders are overloaded, with the largest relief first."""
        if not self.overflow:
            return []
        found = ((self.relief(name), name) for name in self.share)
        return sorted(((r, n) for r, n in found if r > 0.0), key=lambda pair: (-pair[0], pair[1]))

    def relieve(self, name: str, rate: float) -> None:
        """Count ``rate`` of an item as moved away from its overloaded holders."""
        for upstream, share in self.share.get(name, {}).items():
            moved = min(share, self.overflow.get(upstream, 0.0), rate)
            if moved > 0.0:
                self.overflow[upstream] -= moved
                rate -= moved


def estimate_served(view: PlanView, holders: dict[str, list[str]]) -> Served:
    """Spread each item's expected demand over its holders.

    Routing sends work where there is room, which a few rounds of shifting each share towards the
    less loaded upstreams approximate.
    """
    served = Served()
    rates = {name: max(u.rate, 1e-9) for name, u in view.upstreams.items()}
    for name, demanded in view.demands.items():
        demand = demanded.expected
        held = holders.get(name, [])
        if demand <= 0.0 or name not in view.items:
            continue
        if not held:
            continue
        total = sum(rates[u] for u in held)
        served.share[name] = {u: demand * rates[u] / total for u in held}
    for _ in range(ROUNDS):
        served.load = sum_loads(served.share)
        spread = {name: s for name, s in served.share.items() if len(s) > 1}
        if not spread:
            break
        for name, share in spread.items():
            demand = sum(share.values())
            weights = {u: s * rates[u] / max(served.load[u], 1e-9) for u, s in share.items()}
            total = sum(weights.values())
            served.share[name] = {u: demand * w / total for u, w in weights.items()}
    served.load = sum_loads(served.share)
    served.overflow = {u: load - rates[u] for u, load in served.load.items() if load > rates[u]}
    return served


def sum_loads(shares: dict[str, dict[str, float]]) -> dict[str, float]:
    """Return each upstream's load."""
    loads: dict[str, float] = {}
    for share in shares.values():
        for upstream, rate in share.items():
            loads[upstream] = loads.get(upstream, 0.0) + rate
    return loads
