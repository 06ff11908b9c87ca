"""Membership entries of nodes and their incarnations."""

import zlib
from dataclasses import dataclass
from enum import Enum

__all__ = ["HostEntry", "NodeEntry", "NodeState", "make_incarnation"]

# The low bits of an incarnation distinguish instances whose incarnations were raised equally often.
INSTANCE_BITS = 16
INSTANCE_MASK = (1 << INSTANCE_BITS) - 1


def make_incarnation(instance: str, above: int = 0) -> int:
    """Return an incarnation of an instance that is greater than the incarnation ``above``.

    >>> make_incarnation("i2", above=make_incarnation("i1")) > make_incarnation("i1")
    True
    """
    raise_count = (above >> INSTANCE_BITS) + 1
    instance_bits = zlib.crc32(instance.encode()) & INSTANCE_MASK
    return raise_count << INSTANCE_BITS | instance_bits


class NodeState(Enum):
    """State of a node as observed by another node; observers may disagree.

    A node that is in the host list, but of which no entry has been received, is ``SUSPECT``.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(frozen=True)
class HostEntry:
    """Node in the platform's host list, which may be out of date."""

    name: str
    address: str
    domain: str
    leaving: bool = False


@dataclass(frozen=True)
class NodeEntry:
    """Membership entry of a node; entries are ordered by ``(incarnation, counter)``.

    The incarnation is created by ``make_incarnation`` and differs between instances of a node.

    ``instance`` is empty and the version is (0, 0) if the node is known only from the host list.
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
        """Version that orders the entries of a node."""
        return self.incarnation, self.counter
