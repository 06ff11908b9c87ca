"""Comparison of the figures of a run with the committed ones."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from .suite import Case, compare_goals

__all__ = ["Regression", "check_cases", "write_cases"]

# Relative change for the worse that is allowed where the committed figure misses its goal. A seeded
# run is reproducible; the tolerance permits changes that improve one case at the cost of another.
TOLERANCE = 0.02


@dataclass(frozen=True)
class Regression:
    """A figure beyond its limit."""

    case: str
    figure: str
    value: float
    limit: float


def write_cases(path: Path, cases: Sequence[Case]) -> None:
    """Write all figures to a file as JSON."""
    records = [case.as_record() for case in cases]
    path.write_text(json.dumps(records, indent=1, sort_keys=True) + "\n")


def check_cases(path: Path, cases: Sequence[Case]) -> tuple[Regression, ...]:
    """Return the figures beyond their limits.

    The limit of a figure is its goal. If the committed figure misses the goal, the limit is the
    committed figure with ``TOLERANCE``, so that a case that misses its goal does not get worse.
    A case without a committed record must meet the goals.
    """
    committed = {
        (record["deployment"], record["scenario"], record["duration_s"]): record
        for record in json.loads(path.read_text())
    }
    regressions = []
    for case in cases:
        record = committed.get((case.deployment, case.scenario, case.duration_s), {})
        for goal in compare_goals(case):
            committed_value = record.get(goal.name, goal.limit)
            if goal.at_least:
                limit = min(goal.limit, committed_value * (1 - TOLERANCE))
                failed = goal.figure < limit
            else:
                limit = max(goal.limit, committed_value * (1 + TOLERANCE))
                failed = goal.figure > limit
            if failed:
                name = f"{case.deployment}/{case.scenario}"
                regressions.append(Regression(name, goal.name, goal.figure, limit))
    return tuple(regressions)
