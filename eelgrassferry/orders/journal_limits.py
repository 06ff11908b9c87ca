"""Settings of the order journal."""

from dataclasses import dataclass

__all__ = ["JournalLimits"]


@dataclass(frozen=True)
class JournalLimits:
    """Times are in seconds.

    ``owner_timeout_s`` is how long the shard's owner may take before a node writes itself;
    ``linger_s`` is how long the end of an order waits for a begin to share a write with.
    """

    shards: int = 16
    retention_s: float = 3600.0
    owner_timeout_s: float = 1.0
    store_timeout_s: float = 3.0
    linger_s: float = 0.05
