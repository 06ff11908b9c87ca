"""How often streams pause for too long, learned from the longest gap between events of each."""

from bisect import bisect_right, insort
from collections import deque

__all__ = ["GapBook"]

# Streams that are remembered, about the last minute of a busy node. With fewer than the least
# number nothing is concluded: one late stream of twenty is a chance of 0.05.
KEPT_STREAMS = 200
LEAST_STREAMS = 20
# Streams of fewer output tokens (about half a second) seldom meet a long prompt; they say nothing
# about the others, and their own chance shrinks with their length.
LONG_STREAM_TOKENS = 128


class GapBook:
    """Longest gaps of this node's streams, each divided by the slowness of its upstream.

    An engine reads long prompts in pieces between the tokens of the running streams, so the gaps of
    a slow engine are longer by its slowness.

    >>> book = GapBook()
    >>> for _ in range(50):
    ...     book.note(0.2, slowness=1.0, tokens=300)
    >>> book.chance(1.0, 300, target_s=0.3), book.chance(2.0, 300, target_s=0.3)
    (0.0, 1.0)
    """

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def note(self, gap_s: float, slowness: float, tokens: int) -> None:
        """Take the longest gap of one complete stream, in seconds."""
        if tokens < LONG_STREAM_TOKENS:
            return
        scaled_s = gap_s / slowness
        self._recent.append(scaled_s)
        insort(self._sorted, scaled_s)
        if len(self._recent) > KEPT_STREAMS:
            oldest = self._recent.popleft()
            del self._sorted[bisect_right(self._sorted, oldest) - 1]

    def chance(self, slowness: float, tokens: int, target_s: float) -> float:
        """Return how likely a stream of ``tokens`` is to have a gap longer than ``target_s``, from
        0 to 1.
        """
        known = len(self._sorted)
        if known < LEAST_STREAMS or target_s <= 0.0:
            return 0.0
        longer = known - bisect_right(self._sorted, target_s / slowness)
        return longer / known * min(1.0, tokens / LONG_STREAM_TOKENS)
