"""Messages of the gossip."""

from dataclasses import dataclass

from .message import message

__all__ = ["Delta", "Digest", "NodeDelta", "TopicEntry"]


@dataclass(frozen=True)
class TopicEntry:
    """One topic's value with its counter."""

    topic: int
    counter: int
    value: bytes


@dataclass(frozen=True)
class NodeDelta:
    """Entries that one node wrote under one incarnation."""

    node: str
    incarnation: int
    entries: tuple[TopicEntry, ...]


@message("peers.delta")
@dataclass(frozen=True)
class Delta:
    """Entries that the receiver may lack. ``wants`` names nodes whose rare topics are asked for."""

    nodes: tuple[NodeDelta, ...]
    wants: tuple[str, ...] = ()


@message("peers.digest")
@dataclass(frozen=True)
class Digest:
    """Fingerprints of the rare topics of the nodes from ``first`` up to before ``end`` by name.

    An empty ``end`` means up to the last name.
    """

    first: str
    end: str
    nodes: tuple[tuple[str, int], ...]
