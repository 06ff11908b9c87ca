"""The limit that follows from a tenant's quota and the guarantees on quotas."""

from dataclasses import dataclass

from ..fleet import ServiceBounds, Tenant

__all__ = ["CLOSE_SHARE", "QuotaLimit"]

# In any period, somewhat more than the quota may run. This share of that margin is added to the
# burst, because requests within the quota may arrive closer together than they were sent.
BURST_SHARE = 0.25
# This share of the margin may be used by one request that is paid for afterwards.
OVERDRAFT_SHARE = 0.25
# While more than this share of its depth is unused, a tenant is open: nodes need not ask.
CLOSE_SHARE = 0.5


@dataclass(frozen=True)
class QuotaLimit:
    """The limit of one tenant over all nodes together.

    ``depth`` is the largest amount that may run at once, ``overdraft`` the part of one request that
    may be paid for afterwards, and ``largest`` what one request may count. All are in units of the
    quota.

    The rest of the margin covers the delay of reports and the time until the loss of a link is
    noticed on both sides.
    """

    rate_per_s: float
    depth: float
    overdraft: float
    largest: float

    @classmethod
    def of(cls, tenant: Tenant, bounds: ServiceBounds) -> "QuotaLimit | None":
        """Return the limit of a tenant, or None if it has none."""
        if tenant.rate_per_s <= 0.0:
            return None
        quota = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
        margin = bounds.quota_over * quota + bounds.quota_slack
        return cls(
            tenant.rate_per_s,
            tenant.burst + BURST_SHARE * margin,
            OVERDRAFT_SHARE * margin,
            max(1.0, tenant.burst + margin),
        )

    @property
    def depth_s(self) -> float:
        """Time in which the depth is filled, in seconds."""
        return self.depth / self.rate_per_s

    def seconds(self, units: float) -> float:
        """Return the time that an amount takes at the rate."""
        return units / self.rate_per_s

    def prepaid(self, units: float) -> float:
        """Return the part of a request that has to be available before it runs."""
        return min(self.depth, max(0.0, units - self.overdraft))
