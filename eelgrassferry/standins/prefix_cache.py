"""Prefix cache of the engine stand-in and the events that report its changes."""

import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["CacheEvent", "PrefixCache"]

MAX_EVENTS = 4096


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache.

    ``kind`` is ``stored``, ``removed`` or ``cleared``; ``blocks`` is empty for ``cleared``.
    """

    seq: int
    kind: str
    at_s: float
    blocks: tuple[str, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the event as ``GET /admin/events`` lists it."""
        return {"seq": self.seq, "kind": self.kind, "blocks": list(self.blocks)}


class PrefixCache:
    """An LRU cache of at most ``max_blocks`` block hashes.

    A random fraction ``gap`` of the events is never delivered; their sequence numbers are skipped.
    Only the last ``MAX_EVENTS`` events can be read.

    >>> cache = PrefixCache(8, gap=0.0, seed=0)
    >>> cache.use(("a", "b"), 0.0), cache.use(("a", "c"), 0.0)
    (0, 1)
    """

    def __init__(self, max_blocks: int, *, gap: float, seed: int) -> None:
        self._max_blocks = max_blocks
        self._gap = gap
        self._random = random.Random(seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, blocks: Sequence[str], now_s: float) -> int:
        """Return the number of leading blocks that are cached, and cache all blocks."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._blocks:
            hits += 1
        added = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        self._record_blocks("removed", evicted, now_s)
        self._record_blocks("stored", [block for block in added if block in self._blocks], now_s)
        return hits

    def clear(self, now_s: float) -> None:
        """Remove all blocks."""
        self._blocks.clear()
        self._append_event("cleared", (), now_s)

    def read_events(self, after: int, until_s: float) -> tuple[CacheEvent, ...]:
        """Return the delivered events after number ``after`` that occurred by ``until_s``."""
        return tuple(e for e in self._events if e.seq > after and e.at_s <= until_s)

    def _record_blocks(self, kind: str, blocks: Iterable[str], now_s: float) -> None:
        block_tuple = tuple(blocks)
        if block_tuple:
            self._append_event(kind, block_tuple, now_s)

    def _append_event(self, kind: str, blocks: tuple[str, ...], now_s: float) -> None:
        self._seq += 1
        if self._random.random() >= self._gap:
            self._events.append(CacheEvent(self._seq, kind, now_s, blocks))
