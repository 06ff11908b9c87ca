"""Tests of the benchmark in virtual time."""

import json
import tempfile
import unittest
from pathlib import Path
from random import Random

from .. import (
    SHORT,
    Outcome,
    Scenario,
    SuiteOptions,
    check_cases,
    format_cases,
    run_suite,
    write_cases,
)
from ..bound import count_attainable
from ..deployments import build_cronometria, build_decal_works
from ..suite import Case
from ..trace import BURSTS, build_trace

EXPECTED = Path(__file__).resolve().parents[3] / "bench" / "expected.json"
TINY = SuiteOptions(20.0, ("cronometria",), (Scenario.BURSTS,))


def build_case(routed: Outcome) -> Case:
    """Return a case with fixed outcomes of the baselines and the bound."""
    weak = Outcome(10.0, 10.0, 0.5, 90, 0)
    best = Outcome(20.0, 20.0, 1.0, 0, 0)
    return Case("d", "bursts", 20.0, weak, weak, weak, routed, best)


class BenchTest(unittest.TestCase):
    """Tests of the trace, the bound and the check."""

    def test_same_seed_gives_the_same_figures(self):
        """Guard against figures that change from run to run."""
        first, second = list(run_suite(TINY)), list(run_suite(TINY))
        self.assertEqual(first, second)
        self.assertIn("routed", format_cases(first))

    def test_sizes_match_the_design(self):
        """Guard against sample deployments that differ from docs/design.md 1.1."""
        for build, models, adapters, domains in (
            (build_cronometria, 25, 65, 4),
            (build_decal_works, 20, 75, 3),
        ):
            deployment = build()
            sizes = len(deployment.models), len(deployment.adapters), len(deployment.site.domains)
            self.assertEqual(sizes, (models, adapters, domains))
            self.assertEqual(len(deployment.engines), 6)
            accelerators = sum(upstream.accelerators for upstream in deployment.engines)
            self.assertLess(accelerators, models)

    def test_bound_serves_all_of_a_light_load_and_part_of_a_heavy_one(self):
        """Guard against a bound that the speed of the engines doesn't limit."""
        trace = build_trace(build_cronometria(), BURSTS, 20.0, 3, 60.0, Random(1))
        work = sum(arrival.output_tokens for arrival in trace)
        light = count_attainable(trace, lambda now: 100.0 * work, 200.0)
        heavy = count_attainable(trace, lambda now: work / 200.0, 200.0)
        self.assertEqual(light.total(), len(trace))
        self.assertLess(heavy.total(), len(trace))
        self.assertGreater(heavy.total(), 0)

    def test_check_compares_with_goals_and_committed_figures(self):
        """Guard against a check that passes whatever the figures are."""
        good = build_case(Outcome(19.0, 19.0, 0.95, 20, 0))
        weak = build_case(Outcome(15.0, 15.0, 0.75, 20, 0))
        worse = build_case(Outcome(13.0, 13.0, 0.65, 20, 0))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "expected.json"
            path.write_text(json.dumps([]))
            self.assertEqual(check_cases(path, [good]), ())
            self.assertEqual([d.figure for d in check_cases(path, [weak])], ["bound_share"])
            write_cases(path, [weak])
            self.assertEqual(check_cases(path, [weak]), ())
            self.assertIn("bound_share", [d.figure for d in check_cases(path, [worse])])


class CommittedFiguresTest(unittest.TestCase):
    """Comparison of the short suite with the committed figures."""

    def test_short_suite_is_within_its_limits(self):
        """Guard against a change of a policy that lowers attainment or adds moves."""
        cases = list(run_suite(SHORT))
        self.assertEqual(check_cases(EXPECTED, cases), ())


if __name__ == "__main__":
    unittest.main()
