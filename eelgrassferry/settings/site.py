"""A site: one region with its failure domains and its objective."""

from dataclasses import dataclass

__all__ = ["Site"]


@dataclass(frozen=True)
class Site:
    """The site's policy.

    ``move_cost`` is the number of requests served within target that a move has to gain before
    it is worth making. Times are in seconds.
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
