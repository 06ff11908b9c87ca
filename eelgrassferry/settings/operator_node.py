"""What the operators' listener asks of the node it is mounted in."""

from dataclasses import dataclass, field
from typing import Protocol

from result import Result

__all__ = ["DrainError", "Explanation", "NodeState", "OperatorNode", "StatusView", "UpstreamState"]


@dataclass(frozen=True)
class NodeState:
    """One node as this node sees it. ``revision`` is the configuration it last reported."""

    name: str
    domain: str
    state: str
    revision: int


@dataclass(frozen=True)
class UpstreamState:
    """One upstream as this node sees it. Memory is in MiB and 0 for an application server."""

    name: str
    domain: str
    state: str
    in_flight: int = 0
    memory_mib: int = 0
    used_mib: int = 0
    residents: tuple[str, ...] = ()


@dataclass(frozen=True)
class StatusView:
    """The answer to ``GET /status``."""

    node: str
    revision: int
    nodes: tuple[NodeState, ...] = ()
    upstreams: tuple[UpstreamState, ...] = ()
    counters: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Explanation:
    """Why a request or a model was treated as it was, one decision a line, oldest first."""

    subject: str
    lines: tuple[str, ...]


@dataclass(frozen=True)
class DrainError:
    """A drain that was not started."""

    step: str
    peer: str
    message: str


class OperatorNode(Protocol):
    """The node's side of the operators' listener."""

    def status(self) -> StatusView:
        """Return the view of this node, its peers and its upstreams."""

    async def drain(self, name: str) -> Result[str, DrainError]:
        """Start to drain an upstream or this node; return its new state."""

    def explain(self, request_id: str, model: str) -> Explanation | None:
        """Explain a request or a model, one of which is empty; None where it is unknown."""
