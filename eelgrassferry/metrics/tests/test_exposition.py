"""Tests of the Prometheus text format."""

import unittest

from .. import Metrics, TenantLabels, format_metrics


class ExpositionTest(unittest.TestCase):
    """Counters and histograms of one process."""

    def test_reasons_are_labels(self):
        """Guards against a separate counter for each reason, which no query can sum."""
        metrics = Metrics()
        metrics.count("refused.no_capacity")
        metrics.count("refused.not_resident", 2)
        text = format_metrics(metrics).decode()
        self.assertIn('eelgrassferry_refused_total{reason="not_resident"} 2.0', text)

    def test_counters_of_tenants(self):
        """Guards against tenants that no query can tell apart, names that break the format, and a
        time series for each of any number of tenants.
        """
        metrics, labels = Metrics(), TenantLabels()
        for number in range(200):
            name = f"t.{number}" if number else 'p"re:ss|c\n\u00e9'
            metrics.count(f"tenant_refused.{labels.label(name)}.no_capacity")
        text = format_metrics(metrics).decode()
        lines = [line for line in text.splitlines() if line.startswith("eelgrassferry_tenant")]
        self.assertEqual(len(lines), 65)
        for tenant, value in (("t_1", 1.0), ("other", 136.0), ("p_re_ss_c__", 1.0)):
            line = f'refused_total{{reason="no_capacity",tenant="{tenant}"}} {value}'
            self.assertIn(line, text)

    def test_buckets_are_cumulative(self):
        """Guards against buckets that are not cumulative."""
        metrics = Metrics()
        for duration_s in (0.03, 0.03, 3.0, 100.0):
            metrics.observe("request_seconds.served", duration_s)
        text = format_metrics(metrics).decode()
        self.assertIn('request_seconds_bucket{le="0.05",reason="served"} 2.0', text)
        self.assertIn('request_seconds_bucket{le="+Inf",reason="served"} 4.0', text)
