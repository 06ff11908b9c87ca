"""What is known about one node."""

import zlib
from dataclasses import dataclass
from enum import Enum

__all__ = ["HostEntry", "NodeEntry", "NodeState", "make_incarnation"]

# The low bits tell instances with the same number of raises apart.
INSTANCE_BITS = 16
INSTANCE_MASK = (1 << INSTANCE_BITS) - 1


def make_incarnation(instance: str, above: int = 0) -> int:
    """Return an incarnation of this instance that is greater than another one.

    >>> make_incarnation("i2", above=make_incarnation("i1")) > make_incarnation("i1")
    True
    """
    raises = (above >> INSTANCE_BITS) + 1
    mark = zlib.crc32(instance.encode()) & INSTANCE_MASK
    return raises << INSTANCE_BITS | mark


class NodeState(Enum):
    """A node's state as one other node sees it; states of different observers may differ.

    ``SUSPECT`` covers a node that is listed as a host and has not been heard yet.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(frozen=True)
class HostEntry:
    """A node in the platform's host list, which lags."""

    name: str
    address: str
    domain: str
    leaving: bool = False


@dataclass(frozen=True)
class NodeEntry:
    """A node. ``(incarnation, counter)`` orders what is told about it.

    The incarnation comes from ``make_incarnation`` and differs between instances of a node.

    ``instance`` is empty and the version (0, 0) for a node known only from the host list.
    """

    name: str
    instance: str
    incarnation: int
    counter: int
    domain: str
    address: str
    draining: bool = False
    revision: int = 0
    state: NodeState = NodeState.LIVE

    @property
    def version(self) -> tuple[int, int]:
        """The order of what is told about the node."""
        return self.incarnation, self.counter
