"""Probability of long gaps between the events of a stream, estimated from recent streams."""

from bisect import bisect_right, insort
from collections import deque

__all__ = ["TokenGapEstimator"]

# Maximum number of recent streams in the sample, about the last minute of a busy node. With fewer
# than the minimum the estimate is 0, because a single late stream would weigh too much: one of
# twenty already is a probability of 0.05.
MAX_STREAMS = 200
MIN_STREAMS = 20
# Streams of fewer output tokens (about half a second) seldom run beside the prefill of a long
# prompt. They are left out of the sample, and their own probability decreases with their length.
MIN_STREAM_TOKENS = 128


class TokenGapEstimator:
    """Sample of the longest gaps of this node's streams, normalized by slowness.

    An engine prefills long prompts in chunks between the decode steps of the running streams, so
    the gaps of an engine grow in proportion to its slowness factor.

    >>> gaps = TokenGapEstimator()
    >>> for _ in range(50):
    ...     gaps.record(0.2, slowness=1.0, tokens=300)
    >>> gaps.late_probability(1.0, 300, target_s=0.3), gaps.late_probability(2.0, 300, target_s=0.3)
    (0.0, 1.0)
    """

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def record(self, gap_s: float, slowness: float, tokens: int) -> None:
        """Add the longest gap of a complete stream, in seconds."""
        if tokens < MIN_STREAM_TOKENS:
            return
        scaled_s = gap_s / slowness
        self._recent.append(scaled_s)
        insort(self._sorted, scaled_s)
        if len(self._recent) > MAX_STREAMS:
            oldest = self._recent.popleft()
            del self._sorted[bisect_right(self._sorted, oldest) - 1]

    def late_probability(self, slowness: float, tokens: int, target_s: float) -> float:
        """Return the probability of a gap longer than ``target_s`` in a stream of ``tokens``.

        The result is between 0 and 1, and 0 if there are too few samples.
        """
        count = len(self._sorted)
        if count < MIN_STREAMS or target_s <= 0.0:
            return 0.0
        longer = count - bisect_right(self._sorted, target_s / slowness)
        return longer / count * min(1.0, tokens / MIN_STREAM_TOKENS)
