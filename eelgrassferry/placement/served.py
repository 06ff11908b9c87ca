"""Estimate of what the present copies serve."""

from dataclasses import dataclass, field

from .view import PlanView

__all__ = ["Served", "estimate_served"]

ROUNDS = 4


@dataclass
class Served:
    """How demand spreads over copies, in requests per second.

    ``share`` is the rate of an item at an upstream, ``load`` the sum at an upstream and ``unmet``
    the rate of an item beyond what its copies can serve.
    """

    share: dict[str, dict[str, float]] = field(default_factory=dict)
    load: dict[str, float] = field(default_factory=dict)
    unmet: dict[str, float] = field(default_factory=dict)

    def spare(self, upstream: str, rate: float) -> float:
        """Return the rate that an upstream could serve beyond its load."""
        return max(0.0, rate - self.load.get(upstream, 0.0))


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
            served.unmet[name] = demand
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
    over = {u: 1.0 - rates[u] / load for u, load in served.load.items() if load > rates[u]}
    for name, share in served.share.items():
        missed = sum(s * over[u] for u, s in share.items() if u in over)
        if missed > 0.0:
            served.unmet[name] = missed
    return served


def sum_loads(shares: dict[str, dict[str, float]]) -> dict[str, float]:
    """Return each upstream's load."""
    loads: dict[str, float] = {}
    for share in shares.values():
        for upstream, rate in share.items():
            loads[upstream] = loads.get(upstream, 0.0) + rate
    return loads
