"""The command line of the benchmark."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from .check import check_cases, write_cases
from .decision_cost import measure_decision_cost
from .fleet import Scenario
from .report import format_cases
from .suite import FULL, SHORT, SuiteOptions, run_suite

__all__ = ["main"]

UPSTREAM_COUNTS = (6, 60, 200)

app = App(name="eelgrassferry-bench", help="Measure routing policies in virtual time.")


@app.default
def bench(
    *,
    short: bool = False,
    seed: int = FULL.seed,
    json: Path | None = None,
    check: Path | None = None,
    scenario: Annotated[Scenario | None, Parameter(help="Only this scenario.")] = None,
    decision_cost: bool = False,
) -> int:
    """Measure every case, print the table, and return 1 when ``--check`` finds a figure outside
    its bounds.

    Parameters
    ----------
    short: run the short seeded form for continuous integration.
    seed: seed of the trace.
    json: file to write all figures to.
    check: committed file to compare with.
    decision_cost: measure the processor time of routing decisions instead.
    """
    if decision_cost:
        print(f"{'upstreams':>9}{'submit us':>11}{'first token us':>16}{'finish us':>11}")
        for count in UPSTREAM_COUNTS:
            cost = measure_decision_cost(count)
            print(
                f"{cost.upstreams:>9}{cost.submit_us:>11.0f}{cost.first_token_us:>16.0f}"
                f"{cost.finish_us:>11.0f}"
            )
        return 0
    base = SHORT if short else FULL
    scenarios = (scenario,) if scenario else base.scenarios
    cases = list(run_suite(SuiteOptions(base.duration_s, base.deployments, scenarios, seed)))
    print(format_cases(cases))
    if json is not None:
        write_cases(json, cases)
    if check is None:
        return 0
    regressions = check_cases(check, cases)
    for regression in regressions:
        print(
            f"{regression.case}: {regression.figure} is {regression.value:.3f}, "
            f"limit {regression.limit:.3f}"
        )
    return 1 if regressions else 0


def main(arguments: Sequence[str]) -> int:
    """Run the command and return its exit code."""
    return app(list(arguments))
