"""View of the prompt prefixes in the cache of each upstream.

Cache events arrive late and with gaps in their numbering. Blocks stored before a gap may have been
removed by a missing event, so they are not discarded but get a lower confidence.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from .messages import CacheEvent, CacheEventKind

__all__ = ["PREFIX_BLOCK_TOKENS", "PrefixView"]

PREFIX_BLOCK_TOKENS = 64
# Factor by which the confidence in a block decreases with each gap since it was stored.
GAP_CONFIDENCE = 0.6
# A request dispatched by this node stores its prefix unless the engine evicts it or fails first.
DISPATCH_CONFIDENCE = 0.7
MAX_BLOCKS = 20_000


class _Cache:
    """State of one upstream's cache.

    ``blocks`` maps each block to the number of gaps at the time it was stored and its confidence.
    ``last`` is the greatest event number received.
    """

    __slots__ = ("blocks", "gaps", "last")

    def __init__(self) -> None:
        self.blocks: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self.gaps = 0
        self.last: int | None = None

    def store(self, hashes: Iterable[str], confidence: float) -> None:
        for block in hashes:
            entry = self.blocks.get(block)
            if entry is None or entry[1] <= confidence or entry[0] < self.gaps:
                self.blocks[block] = (self.gaps, confidence)
            self.blocks.move_to_end(block)
        while len(self.blocks) > MAX_BLOCKS:
            self.blocks.popitem(last=False)


class PrefixView:
    """Cached prefix blocks by upstream, derived from cache events and own dispatches."""

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}

    def update(self, upstream: str, events: Iterable[CacheEvent]) -> None:
        """Apply cache events.

        A repeated or reordered event can only lower the confidence in a block.
        """
        cache = self._caches.setdefault(upstream, _Cache())
        for event in events:
            is_reordered = cache.last is not None and event.number <= cache.last
            if cache.last is not None and event.number > cache.last + 1:
                cache.gaps += 1
            match event.kind:
                case CacheEventKind.STORED if not is_reordered:
                    cache.store(event.hashes, 1.0)
                case CacheEventKind.REMOVED if not is_reordered:
                    for block in event.hashes:
                        cache.blocks.pop(block, None)
                case CacheEventKind.REMOVED:
                    for block in event.hashes:
                        if block in cache.blocks:
                            cache.blocks[block] = (cache.gaps - 1, cache.blocks[block][1])
                case CacheEventKind.CLEARED if not is_reordered:
                    cache.blocks.clear()
                case _:
                    pass
            cache.last = event.number if cache.last is None else max(cache.last, event.number)

    def record_dispatch(self, upstream: str, hashes: Iterable[str]) -> None:
        """Store the prefix of a request dispatched by this node."""
        self._caches.setdefault(upstream, _Cache()).store(hashes, DISPATCH_CONFIDENCE)

    def remove_upstream(self, upstream: str) -> None:
        """Remove the cache state of an upstream that crashed, restarted or left."""
        self._caches.pop(upstream, None)

    def cached_tokens(self, upstream: str, hashes: Sequence[str]) -> float:
        """Return the expected number of prompt tokens that need no prefill."""
        cache = self._caches.get(upstream)
        if cache is None or not hashes:
            return 0.0
        expected = 0.0
        confidence = 1.0
        for block in hashes:
            entry = cache.blocks.get(block)
            if entry is None:
                break
            stored_gaps, stored_confidence = entry
            confidence = min(
                confidence, stored_confidence * GAP_CONFIDENCE ** (cache.gaps - stored_gaps)
            )
            expected += PREFIX_BLOCK_TOKENS * confidence
        return expected
