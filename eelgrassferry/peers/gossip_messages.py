"""Messages of the gossip."""

from dataclasses import dataclass

from .delta_codec import NodeDelta, pack_nodes
from .message import message

__all__ = ["Delta", "Digest"]


@message("peers.delta")
@dataclass(frozen=True)
class Delta:
    """Entries that the receiver may lack, from ``pack_nodes``.

    ``wants`` names nodes whose rare topics the sender asks for.
    """

    packed: bytes
    wants: tuple[str, ...] = ()

    @classmethod
    def of(cls, *nodes: NodeDelta, wants: tuple[str, ...] = ()) -> "Delta":
        """Return a delta of entries grouped by node."""
        return cls(pack_nodes(nodes), wants)


@message("peers.digest")
@dataclass(frozen=True)
class Digest:
    """Fingerprints of the rare topics of the nodes from ``first`` up to before ``end`` by name.

    An empty ``end`` means up to the last name.
    """

    first: str
    end: str
    nodes: tuple[tuple[str, int], ...]
