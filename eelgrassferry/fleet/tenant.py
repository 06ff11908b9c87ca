"""Tenants: the customers whose callers share the fleet, with their keys and quotas."""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["QuotaUnit", "Tenant"]


class QuotaUnit(Enum):
    """What a tenant's quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class Tenant:
    """A customer whose callers identify themselves with one of the tenant's keys.

    Over all nodes together, the tenant's requests are limited to ``rate_per_s`` units per second
    plus a burst of ``burst`` units; 0 means no limit. ``plain_tokens`` is what a request counts
    that names no token counts, if ``unit`` is tokens. ``priority`` replaces the priority of the
    route unless it is None. The keys are secret, so the representation omits them.

    >>> Tenant("press", ("k1",), rate_per_s=900.0, unit=QuotaUnit.TOKENS, plain_tokens=200)
    Tenant(name='press', priority=None, rate_per_s=900.0, burst=0.0, unit=<QuotaUnit.TOKENS: \
'tokens'>, plain_tokens=200)
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    def cost(self, tokens: int | None) -> float:
        """Return what a request counts against the quota, in units.

        ``tokens`` is the sum of the request's token counts, or None if it names none.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)
