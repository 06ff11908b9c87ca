"""Settings of one node, from its own file."""

from dataclasses import dataclass

__all__ = ["NodeSettings"]


@dataclass(frozen=True)
class NodeSettings:
    """What one node is told about itself. Addresses are ``ip:port``; port 0 lets the kernel pick.

    ``engine_token`` is shown to engines that check who gives them an order. ``peer_keys`` holds
    the keys accepted from peers; the first is used to sign. ``seeds`` are peer addresses to try
    when the host list cannot be read.
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
