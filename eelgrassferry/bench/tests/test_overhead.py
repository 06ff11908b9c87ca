"""Tests of the overhead benchmark: its arithmetic, and a very short run over real processes."""

import asyncio
import json
import math
import os
import unittest

from ..overhead import LONG, measure
from ..overhead_cost import Cost, Phase, merge_costs, quantile, slope, solve_cost
from ..overhead_report import format_json, format_report, make_report
from ..overhead_run import Form, PathRound, SizeReading
from ..overhead_site import SiteSize, read_processor_s, read_rss_mib


def phase(requests: int, tokens: int, processor_s: float, idle_share: float = 0.0) -> Phase:
    """Return one second of requests without failures."""
    return Phase(requests, tokens, tokens, 0, 1.0, processor_s, idle_share)


class CostTest(unittest.TestCase):
    """The cost of requests and tokens from two lengths."""

    def test_request_and_token_are_told_apart(self):
        """Guards against the time of tokens that is charged to requests, or the reverse."""
        short = phase(100, 100, 100 * 2000e-6 + 100 * 100e-6)
        long = phase(10, 1280, 10 * 2000e-6 + 1280 * 100e-6)
        cost = solve_cost(short, long)
        self.assertAlmostEqual(cost.request_us, 2000.0)
        self.assertAlmostEqual(cost.token_us, 100.0)

    def test_idle_time_is_taken_off(self):
        """Guards against polling that is charged to requests."""
        self.assertAlmostEqual(phase(1, 1, 0.5, idle_share=0.2).busy_s, 0.3)

    def test_a_phase_without_requests_has_no_cost(self):
        """Guards against a failed phase that is reported as free."""
        self.assertTrue(math.isnan(solve_cost(phase(0, 0, 0.1), phase(1, 8, 0.1)).token_us))

    def test_median_slope_and_quantile(self):
        """Guards against a summary that one disturbed round decides."""
        merged = merge_costs((Cost(1.0, 9.0), Cost(2.0, 1.0), Cost(900.0, 2.0)))
        self.assertEqual(merged, Cost(2.0, 2.0))
        self.assertAlmostEqual(slope((10, 100, 200), (2.0, 11.0, 21.0)), 0.1)
        self.assertTrue(math.isnan(slope((10, 10), (1.0, 2.0))))
        self.assertEqual(quantile(range(1, 101), 0.95), 95)

    def test_sizes_give_slopes(self):
        """Guards against a slope over upstreams that takes in the point with other models."""
        readings = [
            SizeReading(SiteSize(u, m), idle, 40.0 + u / 64, 0.1, 40.0, phase(100, 100, 0.2 + idle))
            for u, m, idle in ((10, 100, 0.01), (100, 100, 0.1), (200, 100, 0.2), (100, 1700, 0.9))
        ]
        report = make_report([_round()], readings)
        self.assertAlmostEqual(report.idle_percent_per_upstream, 0.1)
        self.assertAlmostEqual(report.rss_kib_per_upstream, 16.0)
        self.assertIn("slopes", format_report(report))
        self.assertEqual(json.loads(format_json(report))["sizes"][0]["upstreams"], 10)

    def test_own_process_can_be_read(self):
        """Guards against fields of /proc that are read from the wrong place."""
        before = read_processor_s(os.getpid())
        while read_processor_s(os.getpid()) - before < 0.05:
            sum(range(10_000))
        self.assertGreater(read_rss_mib(os.getpid()), 5.0)


class RunTest(unittest.TestCase):
    """A very short form over real processes."""

    def test_short_run_gives_all_figures(self):
        """Guards against a run that loses requests, or a site whose models are not resident."""
        form = Form(1, 0.4, 0.4, 0.3, 2, 16, SiteSize(2, 1), (SiteSize(2, 4),))
        report = asyncio.run(measure(form))
        self.assertEqual(report.failed, 0)
        self.assertGreater(report.requests, 10)
        self.assertGreater(report.node_first_token_ms, 0.0)
        self.assertGreater(report.sizes[0].rss_mib, 10.0)
        # Short phases may be too short for a slope; the JSON form must not break on it.
        json.loads(format_json(report))

    def test_each_model_is_resident(self):
        """Guards against requests for models that the planner has to load first."""
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
