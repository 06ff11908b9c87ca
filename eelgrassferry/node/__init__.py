"""Entry node: sockets, timers and requests around the routing and placement logic."""

from .node import Node
from .run_node import run_node

__all__ = ["Node", "run_node"]
