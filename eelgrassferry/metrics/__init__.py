"""Counters, gauges, timings and histograms, exported by statsd and as Prometheus text."""

from .exposition import CONTENT_TYPE, format_metrics
from .histogram import Histogram
from .metrics import Metrics
from .tenant_labels import OTHER_TENANTS, TenantLabels

__all__ = [
    "CONTENT_TYPE",
    "OTHER_TENANTS",
    "Histogram",
    "Metrics",
    "TenantLabels",
    "format_metrics",
]
