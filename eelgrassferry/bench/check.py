"""Comparison of a run with the committed figures."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from .suite import Case, compare_goals

__all__ = ["Drift", "check_cases", "write_cases"]

# How far a figure may fall below its committed value where the goal is missed already. A seeded
# run gives the same figures each time; this leaves room for changes that trade one case for
# another.
TOLERANCE = 0.02


@dataclass(frozen=True)
class Drift:
    """A figure outside its bounds."""

    case: str
    figure: str
    value: float
    limit: float


def write_cases(path: Path, cases: Sequence[Case]) -> None:
    """Write all figures as JSON."""
    records = [case.as_record() for case in cases]
    path.write_text(json.dumps(records, indent=1, sort_keys=True) + "\n")


def check_cases(path: Path, cases: Sequence[Case]) -> tuple[Drift, ...]:
    """Return the figures outside their bounds.

    The bound of a figure is its goal. Where the committed figure misses the goal, the bound is the
    committed figure with ``TOLERANCE``, so that a case that is known to miss does not get worse.
    A case without a committed record has to meet the goals.
    """
    committed = {
        (record["deployment"], record["scenario"], record["duration_s"]): record
        for record in json.loads(path.read_text())
    }
    drifts = []
    for case in cases:
        record = committed.get((case.deployment, case.scenario, case.duration_s), {})
        for goal in compare_goals(case):
            before = record.get(goal.name, goal.limit)
            if goal.at_least:
                limit = min(goal.limit, before * (1 - TOLERANCE))
                failed = goal.figure < limit
            else:
                limit = max(goal.limit, before * (1 + TOLERANCE))
                failed = goal.figure > limit
            if failed:
                name = f"{case.deployment}/{case.scenario}"
                drifts.append(Drift(name, goal.name, goal.figure, limit))
    return tuple(drifts)
