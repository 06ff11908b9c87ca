"""Counters, gauges and timings by statsd, with the counters also readable in the process."""

from .metrics import Metrics

__all__ = ["Metrics"]
