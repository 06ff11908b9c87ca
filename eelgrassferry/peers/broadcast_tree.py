"""Broadcast trees over which a gossip entry is forwarded from the node that published it.

All nodes of a scope form a ring ordered by name, and each origin has its own broadcast tree: the
node at offset ``o`` from the origin forwards to the offsets ``o + 2**a`` for all powers of two
above ``o``. Each node receives an entry once, over at most ``log2(n)`` hops. A node has the same
few targets for all origins, so entries of several origins share messages. Random gossip would
send each entry about ``ln(n) + 3`` times per node for the same coverage, which exceeds the byte
budget at 330 nodes.
"""

from bisect import bisect_left
from collections.abc import Iterable, Set

__all__ = ["BroadcastTree"]


class BroadcastTree:
    """Forwarding targets of one node in the broadcast trees of all origins of a scope.

    A target without a link is replaced by the nodes to which that target would have forwarded.

    >>> BroadcastTree("a", "abcd", set("bcd")).targets_of("a")
    ('b', 'c', 'd')
    """

    def __init__(self, own_name: str, names: Iterable[str], linked: Set[str]) -> None:
        self._ring = tuple(sorted({*names, own_name}))
        self._own_index = self._ring.index(own_name)
        self._linked = linked
        self._targets: dict[str, tuple[str, ...]] = {}

    def targets_of(self, origin: str) -> tuple[str, ...]:
        """Return the nodes to which this node forwards entries published by ``origin``.

        The result is empty if ``origin`` is not in the scope.
        """
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
        pending_offsets = _children((self._own_index - base) % size, size)
        while pending_offsets:
            offset = pending_offsets.pop(0)
            name = self._ring[(base + offset) % size]
            if name in self._linked:
                targets.append(name)
            else:
                pending_offsets += _children(offset, size)
        return tuple(targets)


def _children(offset: int, size: int) -> list[int]:
    powers = (1 << a for a in range(offset.bit_length(), size.bit_length()))
    return [offset + power for power in powers if offset + power < size]
