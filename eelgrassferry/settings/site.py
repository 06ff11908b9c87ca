"""Settings of a site: one region with its failure domains and its policy."""

from dataclasses import dataclass

__all__ = ["Site"]


@dataclass(frozen=True)
class Site:
    """Settings that apply to a whole site.

    ``domains`` are the failure domains. ``move_cost`` is the minimum benefit of a move, as a number
    of additional requests served within their latency target. Times are in seconds.
    """

    name: str
    domains: tuple[str, ...]
    move_cost: float = 10.0
    order_transit_s: float = 5.0
    order_send_limit_s: float = 1.0
    lease_s: float = 9.0
    journal_shards: int = 16
    journal_retention_s: float = 3600.0
    queue_limit: int = 256
    retry_ratio: float = 0.1
    patient_deadline_s: float = 3600.0
