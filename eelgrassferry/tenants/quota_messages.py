"""What nodes and the coordinator tell each other about the quotas of tenants."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["QuotaAsk", "QuotaGrant", "QuotaReply", "QuotaReport"]


@dataclass(frozen=True)
class QuotaAsk:
    """Question of a node whether a request may run, at the latest in ``max_wait_s`` seconds."""

    ask_id: int
    tenant: str
    units: float
    max_wait_s: float


@dataclass(frozen=True)
class QuotaGrant:
    """Answer to a question.

    The request may run at ``start_at``, or not in time if that is None. ``next_at`` is the earliest
    time of a further request of the tenant, or None if the tenant is unknown. Times are in seconds.
    """

    ask_id: int
    start_at: float | None
    next_at: float | None


@dataclass(frozen=True)
class QuotaReport:
    """Message of a node: what it has admitted without asking, in units by tenant, and questions.

    Amounts that were admitted and did not run are negative.
    """

    spent: Mapping[str, float] = field(default_factory=dict)
    asks: tuple[QuotaAsk, ...] = ()


@dataclass(frozen=True)
class QuotaReply:
    """Message of the coordinator: answers, and whether nodes may admit a tenant's requests alone.

    ``is_open`` contains the tenants for which that has changed, or all of them in the first
    message on a link. Tenants of which nothing was said are not open.
    """

    grants: tuple[QuotaGrant, ...] = ()
    is_open: Mapping[str, bool] = field(default_factory=dict)
