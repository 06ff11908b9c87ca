"""Benchmark of routing policies in virtual time.

The demand is a seeded trace with bursts. The router and planner of this project are compared with
baseline policies and with an upper bound.
"""

from .check import check_cases, write_cases
from .command import main
from .decision_cost import DecisionCost, measure_decision_cost
from .fleet import Scenario
from .report import format_cases
from .run import Outcome
from .suite import FULL, SHORT, Case, SuiteOptions, compare_goals, run_suite

__all__ = [
    "FULL",
    "SHORT",
    "Case",
    "DecisionCost",
    "Outcome",
    "Scenario",
    "SuiteOptions",
    "check_cases",
    "compare_goals",
    "format_cases",
    "main",
    "measure_decision_cost",
    "run_suite",
    "write_cases",
]
