"""The entry node: sockets and timers around the decisions."""

from .node import Node
from .run_node import run_node

__all__ = ["Node", "run_node"]
