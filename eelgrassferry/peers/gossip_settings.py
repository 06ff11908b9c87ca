"""Settings of the gossip protocol and publication intervals."""

from dataclasses import dataclass

__all__ = ["GossipSettings", "load_interval_s", "summary_interval_s"]


@dataclass(frozen=True)
class GossipSettings:
    """Byte budget and anti-entropy settings.

    ``bytes_per_s`` bounds what a node sends; since every node sends under the same bound, it
    receives about as much. ``burst_bytes`` is the budget that an idle node can accumulate; it lets
    a node that joins become known quickly. ``round_s`` is the shortest interval between rounds.

    Every ``anti_entropy_s`` seconds, a node sends a digest of ``digest_nodes`` nodes to a random
    peer. The reply contains entries of up to about ``reply_bytes``. ``extra_copies`` is the number
    of random peers that receive a value in addition to the targets in the broadcast tree.
    """

    bytes_per_s: float = 3300.0
    burst_bytes: float = 16_000.0
    round_s: float = 0.5
    anti_entropy_s: float = 5.0
    digest_nodes: int = 48
    reply_bytes: int = 4000
    extra_copies: int = 2


def load_interval_s(domain_nodes: int) -> float:
    """Return the time between two publications of exact load in a domain of this many nodes.

    It grows with the domain, so that a node receives at most about 12 such values a second.
    """
    return max(0.5, domain_nodes / 12.0)


def summary_interval_s(nodes: int) -> float:
    """Return the time between two publications of a load summary in a fleet of this size."""
    return max(1.0, nodes / 12.0)
