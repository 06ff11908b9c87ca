"""Tests of the overhead benchmark: its computations and a very short run with real processes."""

import asyncio
import json
import math
import os
import unittest

from ..overhead import LONG, measure
from ..overhead_cost import Cost, Phase, median_cost, quantile, slope, solve_cost
from ..overhead_report import format_json, format_report, make_report
from ..overhead_run import OverheadSettings, PathRound, SizeReading
from ..overhead_site import SiteSize, read_processor_s, read_rss_mib


def phase(requests: int, tokens: int, processor_s: float, idle_share: float = 0.0) -> Phase:
    """Return the readings of a phase of one second without failures."""
    return Phase(requests, tokens, tokens, 0, 1.0, processor_s, idle_share)


class CostTest(unittest.TestCase):
    """Tests of the figures computed from readings."""

    def test_request_and_token_costs_are_separated(self):
        """Guard against time of tokens that is counted as time of requests, or the reverse."""
        short = phase(100, 100, 100 * 2000e-6 + 100 * 100e-6)
        long = phase(10, 1280, 10 * 2000e-6 + 1280 * 100e-6)
        cost = solve_cost(short, long)
        self.assertAlmostEqual(cost.request_us, 2000.0)
        self.assertAlmostEqual(cost.token_us, 100.0)

    def test_idle_time_is_subtracted(self):
        """Guard against the polling of an idle node that is counted as time of requests."""
        self.assertAlmostEqual(phase(1, 1, 0.5, idle_share=0.2).busy_s, 0.3)

    def test_phase_without_requests_has_no_cost(self):
        """Guard against a phase without any answer that is reported with a cost of zero."""
        self.assertTrue(math.isnan(solve_cost(phase(0, 0, 0.1), phase(1, 8, 0.1)).token_us))

    def test_median_slope_and_quantile(self):
        """Guard against summaries in which one disturbed round dominates."""
        merged = median_cost((Cost(1.0, 9.0), Cost(2.0, 1.0), Cost(900.0, 2.0)))
        self.assertEqual(merged, Cost(2.0, 2.0))
        self.assertAlmostEqual(slope((10, 100, 200), (2.0, 11.0, 21.0)), 0.1)
        self.assertTrue(math.isnan(slope((10, 10), (1.0, 2.0))))
        self.assertEqual(quantile(range(1, 101), 0.95), 95)

    def test_slopes_over_sizes(self):
        """Guard against a slope over upstreams that includes a size with more models."""
        readings = [
            SizeReading(SiteSize(u, m), idle, 40.0 + u / 64, 0.1, 40.0, phase(100, 100, 0.2 + idle))
            for u, m, idle in ((10, 100, 0.01), (100, 100, 0.1), (200, 100, 0.2), (100, 1700, 0.9))
        ]
        report = make_report([_round()], readings)
        self.assertAlmostEqual(report.idle_percent_per_upstream, 0.1)
        self.assertAlmostEqual(report.rss_kib_per_upstream, 16.0)
        self.assertIn("slopes", format_report(report))
        self.assertEqual(json.loads(format_json(report))["sizes"][0]["upstreams"], 10)

    def test_readings_of_own_process(self):
        """Guard against reading the wrong fields of /proc."""
        before = read_processor_s(os.getpid())
        while read_processor_s(os.getpid()) - before < 0.05:
            sum(range(10_000))
        self.assertGreater(read_rss_mib(os.getpid()), 5.0)


class RunTest(unittest.TestCase):
    """Tests of the measurement with real processes."""

    def test_short_run_returns_all_figures(self):
        """Guard against a run that loses requests and a site whose models aren't resident."""
        settings = OverheadSettings(1, 0.4, 0.4, 0.3, 2, 16, SiteSize(2, 1), (SiteSize(2, 4),))
        report = asyncio.run(measure(settings))
        self.assertEqual(report.failed, 0)
        self.assertGreater(report.requests, 10)
        self.assertGreater(report.node_first_token_ms, 0.0)
        self.assertGreater(report.sizes[0].rss_mib, 10.0)
        # Short phases may give no slope; the JSON output must accept the NaN.
        json.loads(format_json(report))

    def test_each_model_is_resident(self):
        """Guard against sizes with models that the planner must load before requests succeed."""
        for size in (LONG.path_size, *LONG.sizes):
            held = {name for n in range(size.upstreams) for name in size.residents(n)}
            self.assertEqual(held, set(size.model_names))
            self.assertTrue(all(size.residents(n) for n in range(size.upstreams)))


def _round():
    alone = Phase(4, 4, 4, 0, 1.0, 0.1, 0.0, (0.01, 0.02, 0.01, 0.01))
    short, long = phase(100, 100, 0.21), phase(10, 1280, 0.148)
    return PathRound(alone, alone, short, short, long, long)


if __name__ == "__main__":
    unittest.main()
