"""Which prompt prefixes each upstream holds in its cache.

Cache events arrive late and with gaps. A gap is a loss of knowledge, not an empty cache: blocks
stored before the gap may have been removed in it, so they stay known with less certainty.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from .messages import CacheEvent, CacheEventKind

__all__ = ["PREFIX_BLOCK_TOKENS", "PrefixView"]

PREFIX_BLOCK_TOKENS = 64
# Certainty is multiplied by this for each gap that a block has lived through.
GAP_TRUST = 0.6
# An own dispatch stores its prefix, unless the engine evicts it or fails first.
DISPATCH_TRUST = 0.7
MAX_BLOCKS = 20_000


class _Cache:
    """What is known of one upstream's cache: the gap count at which each block was last seen."""

    __slots__ = ("blocks", "gaps", "last")

    def __init__(self) -> None:
        self.blocks: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self.gaps = 0
        self.last: int | None = None

    def store(self, hashes: Iterable[str], trust: float) -> None:
        for block in hashes:
            known = self.blocks.get(block)
            if known is None or known[1] <= trust or known[0] < self.gaps:
                self.blocks[block] = (self.gaps, trust)
            self.blocks.move_to_end(block)
        while len(self.blocks) > MAX_BLOCKS:
            self.blocks.popitem(last=False)


class PrefixView:
    """Cached prefix blocks for each upstream, from cache events and own dispatches."""

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}

    def update(self, upstream: str, events: Iterable[CacheEvent]) -> None:
        """Apply events. A repeated or overtaken number can only take knowledge away."""
        cache = self._caches.setdefault(upstream, _Cache())
        for event in events:
            late = cache.last is not None and event.number <= cache.last
            if cache.last is not None and event.number > cache.last + 1:
                cache.gaps += 1
            match event.kind:
                case CacheEventKind.STORED if not late:
                    cache.store(event.hashes, 1.0)
                case CacheEventKind.REMOVED if not late:
                    for block in event.hashes:
                        cache.blocks.pop(block, None)
                case CacheEventKind.REMOVED:
                    for block in event.hashes:
                        if block in cache.blocks:
                            cache.blocks[block] = (cache.gaps - 1, cache.blocks[block][1])
                case CacheEventKind.CLEARED if not late:
                    cache.blocks.clear()
                case _:
                    pass
            cache.last = event.number if cache.last is None else max(cache.last, event.number)

    def note_dispatch(self, upstream: str, hashes: Iterable[str]) -> None:
        """Expect the prefix of a request sent by this node to be cached."""
        self._caches.setdefault(upstream, _Cache()).store(hashes, DISPATCH_TRUST)

    def forget(self, upstream: str) -> None:
        """Drop everything about an upstream that crashed, restarted or left."""
        self._caches.pop(upstream, None)

    def cached_tokens(self, upstream: str, hashes: Sequence[str]) -> float:
        """Return the expected number of prompt tokens that need no prefill."""
        cache = self._caches.get(upstream)
        if cache is None or not hashes:
            return 0.0
        expected = 0.0
        trust = 1.0
        for block in hashes:
            known = cache.blocks.get(block)
            if known is None:
                break
            seen, certainty = known
            trust = min(trust, certainty * GAP_TRUST ** (cache.gaps - seen))
            expected += PREFIX_BLOCK_TOKENS * trust
        return expected
