"""Settings of the order journal."""

from dataclasses import dataclass

__all__ = ["JournalLimits"]


@dataclass(frozen=True)
class JournalLimits:
    """Times are in seconds.

    ``owner_timeout_s`` is how long the shard's owner may take before a node writes itself;
    ``linger_s`` is how long the end of an order waits for a begin to share a write with.
    ``shards`` trades size for shared writes: at 500 orders/s, 16 shards took 1.06 writes per order
    and 1 shard 0.30, but one shard holds only some thousands of orders.
    """

    shards: int = 16
    retention_s: float = 3600.0
    owner_timeout_s: float = 1.0
    store_timeout_s: float = 3.0
    linger_s: float = 0.05
