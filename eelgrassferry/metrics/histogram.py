"""Histogram of durations."""

from bisect import bisect_left

__all__ = ["BUCKETS_S", "Histogram"]

# Upper bounds in seconds. They cover the latency targets of the current sites (125 ms to 2 s) with
# at least two buckets below and above.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0)


class Histogram:
    """The number of durations in each bucket and their sum.

    ``counts`` are not cumulative; the last one is of the durations above all bounds.

    >>> histogram = Histogram()
    >>> histogram.add(0.03)
    >>> histogram.counts[2], histogram.sum_s
    (1, 0.03)
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, duration_s: float) -> None:
        """Count one duration in seconds."""
        self.counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s
