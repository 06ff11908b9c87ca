"""Tests of the Prometheus text format."""

import unittest

from .. import Metrics, format_metrics


class ExpositionTest(unittest.TestCase):
    """Counters and histograms of one process."""

    def test_reasons_are_labels(self):
        """Guards against a separate counter for each reason, which no query can sum."""
        metrics = Metrics()
        metrics.count("refused.no_capacity")
        metrics.count("refused.not_resident", 2)
        text = format_metrics(metrics).decode()
        self.assertIn('eelgrassferry_refused_total{reason="not_resident"} 2.0', text)

    def test_buckets_are_cumulative(self):
        """Guards against buckets that are not cumulative."""
        metrics = Metrics()
        for duration_s in (0.03, 0.03, 3.0, 100.0):
            metrics.observe("request_seconds.served", duration_s)
        text = format_metrics(metrics).decode()
        self.assertIn('request_seconds_bucket{le="0.05",reason="served"} 2.0', text)
        self.assertIn('request_seconds_bucket{le="+Inf",reason="served"} 4.0', text)
