"""Metrics of one process."""

from collections import Counter

from statsd import StatsClient

from .histogram import Histogram

__all__ = ["Metrics"]


class Metrics:
    """Counters and histograms of one process, with optional export to statsd.

    Counters and histograms are also kept in memory for the status page and the Prometheus export;
    gauges and timings are only sent to the statsd ``address``, if there is one. Refusals are
    counted under ``refused.<reason>`` and retries under ``retried.<reason>``.

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
        """Add ``amount`` to a counter."""
        self.counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        if self._client is not None:
            self._client.gauge(name, value)

    def time(self, name: str, duration_s: float) -> None:
        """Send a duration in seconds to statsd."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000.0)

    def observe(self, name: str, duration_s: float) -> None:
        """Add a duration in seconds to a histogram and send it to statsd."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(duration_s)
        self.time(name, duration_s)
