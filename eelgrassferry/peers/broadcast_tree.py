"""The tree over which an entry spreads from the node that wrote it.

All nodes of a scope form a ring by name, and every origin has its own tree in it: the node at
offset ``o`` from the origin forwards to the offsets ``o + 2**a`` for all powers of two above
``o``. Each node receives an entry once, over at most ``log2(n)`` hops, and a node's targets are
the same few for all origins, so that entries share messages. Blind random gossip sends each entry
about ``ln(n) + 3`` times per node for the same coverage, which at 330 nodes is over the budget.
"""

from bisect import bisect_left
from collections.abc import Iterable, Set

__all__ = ["BroadcastTree"]


class BroadcastTree:
    """A node's place in the trees of all origins of one scope.

    A target without a link is replaced by the nodes that it would have forwarded to.

    >>> BroadcastTree("a", "abcd", set("bcd")).targets_of("a")
    ('b', 'c', 'd')
    """

    def __init__(self, me: str, names: Iterable[str], linked: Set[str]) -> None:
        self._ring = tuple(sorted({*names, me}))
        self._me = self._ring.index(me)
        self._linked = linked
        self._targets: dict[str, tuple[str, ...]] = {}

    def targets_of(self, origin: str) -> tuple[str, ...]:
        """Return the nodes to which this one forwards what ``origin`` wrote."""
        found = self._targets.get(origin)
        if found is None:
            found = self._targets[origin] = self._find_targets(origin)
        return found

    def _find_targets(self, origin: str) -> tuple[str, ...]:
        size = len(self._ring)
        base = bisect_left(self._ring, origin)
        if base == size or self._ring[base] != origin:
            return ()
        targets = []
        open_offsets = _children((self._me - base) % size, size)
        while open_offsets:
            offset = open_offsets.pop(0)
            name = self._ring[(base + offset) % size]
            if name in self._linked:
                targets.append(name)
            else:
                open_offsets += _children(offset, size)
        return tuple(targets)


def _children(offset: int, size: int) -> list[int]:
    powers = (1 << a for a in range(offset.bit_length(), size.bit_length()))
    return [offset + power for power in powers if offset + power < size]
