"""What each node tells the coordinator."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..dispatch import SlownessSample, UpstreamLoad

__all__ = ["NodeStatus", "Want"]


@dataclass(frozen=True)
class Want:
    """Requests that wait because no engine holds their model or adapter."""

    service: str
    model: str
    adapter: str
    count: int
    left_s: float


@dataclass(frozen=True)
class NodeStatus:
    """``arrivals`` counts requests by service and model since the last status, with the time to
    read their prompts in seconds, ``running`` those
    in flight by instance, model and adapter. ``used`` are adapters that requests were sent to, and
    ``declined`` instances that did not hold what they should. ``doubts`` weighs by instance what
    speaks for an upstream being gone. ``paces`` are observations of how fast upstreams read.
    """

    node: str
    arrivals: Mapping[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    wants: tuple[Want, ...] = ()
    loads: Mapping[str, UpstreamLoad] = field(default_factory=dict)
    running: Mapping[tuple[str, str, str], int] = field(default_factory=dict)
    used: tuple[tuple[str, str, str], ...] = ()
    declined: tuple[str, ...] = ()
    doubts: Mapping[str, int] = field(default_factory=dict)
    paces: tuple[SlownessSample, ...] = ()
