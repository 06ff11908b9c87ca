"""The verdicts on content that a node remembers, indexed for looking up requests."""

from collections.abc import Iterable, Iterator

from .crash_evidence import BlockedContent, size_of

__all__ = ["BlockedContents"]

# Limits of the verdicts that are kept, in number and in bytes of their fingerprints; the oldest one
# is dropped first. All of them are sent in one message and stored in one object.
MAX_BLOCKED = 1000
MAX_BLOCKED_BYTES = 256 * 1024


class BlockedContents:
    """Verdicts by content.

    A request is looked up by one fingerprint of each verdict, the one that is in the fewest others,
    so that the time grows with the request and not with all verdicts.

    >>> blocked = BlockedContents()
    >>> blocked.put(BlockedContent(frozenset({"part:a", "part:b"}), 3.0))
    >>> [sorted(block.fingerprints) for block in blocked.find(("part:a", "part:b", "part:c"))]
    [['part:a', 'part:b']]
    """

    def __init__(self) -> None:
        self._blocks: dict[frozenset[str], BlockedContent] = {}
        self._size = 0
        # Contents by the fingerprint by which they are looked up, and that fingerprint by content.
        self._index: dict[str, set[frozenset[str]]] = {}
        self._index_names: dict[frozenset[str], str] = {}

    def __iter__(self) -> Iterator[BlockedContent]:
        return iter(self._blocks.values())

    def __len__(self) -> int:
        return len(self._blocks)

    def get(self, content: frozenset[str]) -> BlockedContent | None:
        """Return the verdict on a content, or None."""
        return self._blocks.get(content)

    def put(self, block: BlockedContent) -> None:
        """Add a verdict or replace the one on the same content."""
        content = block.fingerprints
        if content not in self._blocks and content:
            name = min(content, key=lambda name: (len(self._index.get(name, ())), name))
            self._index.setdefault(name, set()).add(content)
            self._index_names[content] = name
            self._size += size_of(content)
        self._blocks[content] = block
        while len(self) > MAX_BLOCKED or (self._size > MAX_BLOCKED_BYTES and len(self) > 1):
            self._remove(min(self._blocks, key=lambda c: self._blocks[c].blocked_at))

    def find(self, fingerprints: Iterable[str]) -> list[BlockedContent]:
        """Return the verdicts in force on content of a request with these fingerprints."""
        if not self._blocks:
            return []
        names = tuple(fingerprints)
        indexed = [name for name in names if name in self._index]
        if not indexed:
            return []
        contained = frozenset(names)
        found = (
            self._blocks[content]
            for name in dict.fromkeys(indexed)
            for content in self._index[name]
            if content <= contained
        )
        return [block for block in found if block.in_force]

    def _remove(self, content: frozenset[str]) -> None:
        del self._blocks[content]
        name = self._index_names.pop(content, None)
        if name is None:
            return
        self._size -= size_of(content)
        self._index[name].discard(content)
        if not self._index[name]:
            del self._index[name]
