"""A process's metrics in the Prometheus text format."""

from collections.abc import Iterator

from .histogram import BUCKETS_S
from .metrics import Metrics

__all__ = ["CONTENT_TYPE", "format_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "eelgrassferry"


def format_metrics(metrics: Metrics) -> bytes:
    """Return all counters and histograms as text.

    A counter ``refused.no_capacity`` becomes ``eelgrassferry_refused_total`` with the label
    ``reason="no_capacity"``; a histogram ``request_seconds.served`` likewise. The library is
    imported here, because a process that nobody asks for metrics need not load it.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Hands the library one process's metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[object]:
        """Yield each family of metrics."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        for family, entries in _by_family(self._metrics.counters).items():
            counter = CounterMetricFamily(f"{PREFIX}_{family}", family, labels=["reason"])
            for reason, value in sorted(entries.items()):
                counter.add_metric([reason], value)
            yield counter
        for family, entries in _by_family(self._metrics.histograms).items():
            histogram = HistogramMetricFamily(f"{PREFIX}_{family}", family, labels=["reason"])
            for reason, held in sorted(entries.items()):
                bounds = (*(str(bound) for bound in BUCKETS_S), "+Inf")
                total, buckets = 0, []
                for bound, count in zip(bounds, held.counts, strict=True):
                    total += count
                    buckets.append((bound, total))
                histogram.add_metric([reason], buckets, held.sum_s)
            yield histogram


def _by_family(values: dict) -> dict[str, dict]:
    """Split names at the first dot into a family and its reason."""
    found: dict[str, dict] = {}
    for name, value in values.items():
        family, _, reason = name.partition(".")
        found.setdefault(family, {})[reason] = value
    return found
