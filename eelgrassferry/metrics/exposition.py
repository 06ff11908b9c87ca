"""Export of metrics in the Prometheus text format."""

from collections.abc import Iterator

from .histogram import BUCKETS_S
from .metrics import Metrics

__all__ = ["CONTENT_TYPE", "format_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "eelgrassferry"
# Families of counters of single tenants begin so. The tenant's label comes before the reason.
TENANT_FAMILIES = "tenant_"


def format_metrics(metrics: Metrics) -> bytes:
    """Return all counters and histograms in the Prometheus text format.

    A counter ``refused.no_capacity`` becomes ``eelgrassferry_refused_total`` with the label
    ``reason="no_capacity"``; a histogram ``request_seconds.served`` becomes
    ``eelgrassferry_request_seconds`` with the label ``reason="served"``. A counter
    ``tenant_refused.press.no_capacity`` also has the label ``tenant="press"``.
    """
    # Imported here so that a process whose metrics are never requested does not load the library.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """A collector of ``prometheus_client`` for the metrics of one process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[object]:
        """Yield every metric family."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        for family, entries in _by_family(self._metrics.counters).items():
            of_tenants = family.startswith(TENANT_FAMILIES)
            labels = ["tenant", "reason"] if of_tenants else ["reason"]
            counter_family = CounterMetricFamily(f"{PREFIX}_{family}", family, labels=labels)
            for reason, value in sorted(entries.items()):
                tenant, _, cause = reason.partition(".")
                counter_family.add_metric([tenant, cause] if of_tenants else [reason], value)
            yield counter_family
        for family, entries in _by_family(self._metrics.histograms).items():
            histogram_family = HistogramMetricFamily(
                f"{PREFIX}_{family}", family, labels=["reason"]
            )
            for reason, histogram in sorted(entries.items()):
                bounds = (*(str(bound) for bound in BUCKETS_S), "+Inf")
                cumulative, buckets = 0, []
                for bound, count in zip(bounds, histogram.counts, strict=True):
                    cumulative += count
                    buckets.append((bound, cumulative))
                histogram_family.add_metric([reason], buckets, histogram.sum_s)
            yield histogram_family


def _by_family(values: dict) -> dict[str, dict]:
    """Group values by family; a name is split at the first dot into family and reason."""
    families: dict[str, dict] = {}
    for name, value in values.items():
        family, _, reason = name.partition(".")
        families.setdefault(family, {})[reason] = value
    return families
