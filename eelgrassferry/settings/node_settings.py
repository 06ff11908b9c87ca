"""Settings of one node, read from its own file."""

from dataclasses import dataclass

__all__ = ["NodeSettings"]


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one node.

    Addresses are ``ip:port``; with port 0 in a listen address, the kernel chooses a free port.
    ``engine_token`` authenticates the node to engines that check the sender of an order.
    ``peer_keys`` are the keys accepted from peers; the first one is used for signing. ``seeds`` are
    peer addresses to try when the host list can't be read.
    """

    name: str
    site: str
    domain: str
    listen: str
    operator_listen: str
    peer_listen: str
    platform: str
    operator_token: str
    peer_keys: tuple[str, ...]
    engine_token: str = ""
    seeds: tuple[str, ...] = ()
    statsd: str = ""
    base_file: str = ""
    overlay_file: str = ""
    drain_grace_s: float = 60.0
