"""Messages of the gossip protocol."""

from dataclasses import dataclass

from .delta_codec import NodeDelta, pack_nodes
from .message import message

__all__ = ["Delta", "Digest"]


@message("peers.delta")
@dataclass(frozen=True)
class Delta:
    """Entries that the receiver may not have, encoded by ``pack_nodes``.

    ``requested_nodes`` lists nodes whose anti-entropy topics the sender requests in return.
    """

    packed: bytes
    requested_nodes: tuple[str, ...] = ()

    @classmethod
    def of(cls, *nodes: NodeDelta, requested_nodes: tuple[str, ...] = ()) -> "Delta":
        """Return a delta with entries grouped by node."""
        return cls(pack_nodes(nodes), requested_nodes)


@message("peers.digest")
@dataclass(frozen=True)
class Digest:
    """Fingerprints of the anti-entropy topics of all nodes in a range of names.

    The range includes ``first`` and excludes ``end``; an empty ``end`` means no upper bound.
    """

    first: str
    end: str
    nodes: tuple[tuple[str, int], ...]
