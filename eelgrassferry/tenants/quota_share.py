"""A node's own share of a tenant's quota, for the time without contact to the coordinator."""

from random import Random

from .quota_limit import QuotaLimit

__all__ = ["QuotaShare"]


class QuotaShare:
    """Amount that this node may admit of one tenant without asking, in units.

    The share of one node is often less than one request. A request for which it does not suffice
    uses it up and runs with the probability that it pays for, so that the sum over all nodes is
    right on average.

    ``level`` is the amount at ``since``, when the last message of the coordinator came, and may be
    negative. ``spent`` is what was used until now.
    """

    def __init__(self, level: float, since: float) -> None:
        self.spent = 0.0
        self._level = level
        self._updated_at = since

    def admit(
        self, limit: QuotaLimit, units: float, node_count: int, now: float, rng: Random
    ) -> bool:
        """Return whether a request may run, and use the share if it may."""
        level = self.level(limit, node_count, now)
        if level <= 0.0:
            return False
        cost = min(level, units)
        self._level -= cost
        self.spent += cost
        return rng.random() * units < cost

    def level(self, limit: QuotaLimit, node_count: int, now: float) -> float:
        """Return what may be used at a time, given in seconds."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._level += elapsed_s * limit.rate_per_s / node_count
        self._level = min(limit.depth / node_count, self._level)
        self._updated_at = max(self._updated_at, now)
        return self._level

    def give_back(self, units: float) -> None:
        """Add what a request that did not run has used."""
        self._level += units
        self.spent -= units
