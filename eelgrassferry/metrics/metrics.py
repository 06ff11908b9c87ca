"""One process's metrics."""

from collections import Counter

from statsd import StatsClient

from .histogram import Histogram

__all__ = ["Metrics"]


class Metrics:
    """Sends metrics to a statsd address and keeps the counters for the status page.

    Refusals are counted under ``refused.<reason>`` and retries under ``retried.<reason>``.

    >>> metrics = Metrics()
    >>> metrics.count("refused.queue_full")
    >>> metrics.counters["refused.queue_full"]
    1
    """

    def __init__(self, address: str = "", prefix: str = "eelgrassferry") -> None:
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, Histogram] = {}
        self._client: StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration given in seconds."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000.0)

    def observe(self, name: str, duration_s: float) -> None:
        """Add a duration in seconds to a histogram, and record it as ``time`` does."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(duration_s)
        self.time(name, duration_s)
