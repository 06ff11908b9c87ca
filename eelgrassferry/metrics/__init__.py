"""Counters, gauges, timings and histograms, exported by statsd and as Prometheus text."""

from .exposition import CONTENT_TYPE, format_metrics
from .histogram import Histogram
from .metrics import Metrics

__all__ = ["CONTENT_TYPE", "Histogram", "Metrics", "format_metrics"]
