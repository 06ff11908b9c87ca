"""The interface between the operators' API and the node that serves it."""

from dataclasses import dataclass, field
from typing import Protocol

from result import Result

__all__ = ["DrainError", "Explanation", "NodeState", "OperatorNode", "StatusView", "UpstreamState"]


@dataclass(frozen=True)
class NodeState:
    """State of a node as observed by this node.

    ``revision`` is the configuration revision that the observed node reported last.
    """

    name: str
    domain: str
    state: str
    revision: int


@dataclass(frozen=True)
class UpstreamState:
    """State of an upstream as observed by this node. Memory is 0 for an application server."""

    name: str
    domain: str
    state: str
    in_flight: int = 0
    memory_mib: int = 0
    used_mib: int = 0
    residents: tuple[str, ...] = ()


@dataclass(frozen=True)
class StatusView:
    """The response to ``GET /status``."""

    node: str
    revision: int
    nodes: tuple[NodeState, ...] = ()
    upstreams: tuple[UpstreamState, ...] = ()
    counters: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Explanation:
    """The decisions made for a request or a model, one per line, oldest first."""

    subject: str
    lines: tuple[str, ...]


@dataclass(frozen=True)
class DrainError:
    """Error: the drain was not started."""

    step: str
    peer: str
    message: str


class OperatorNode(Protocol):
    """The operations that a node provides to the operators' API."""

    def status(self) -> StatusView:
        """Return the state of this node, its peers and its upstreams."""

    async def drain(self, name: str) -> Result[str, DrainError]:
        """Start draining an upstream or this node, and return its new state."""

    def explain(self, request_id: str, model: str) -> Explanation | None:
        """Return the decisions made for a request or a model, or None if it is unknown.

        Exactly one of the arguments is not empty.
        """
