"""The table that the benchmark prints."""

from collections.abc import Iterable

from .suite import Case, compare_goals

__all__ = ["format_cases"]

POLICIES = (
    "round_robin",
    "least_outstanding",
    "least_outstanding_spill",
    "routed",
    "bound",
)
HEADER = (
    f"{'deployment':<12}{'scenario':<16}{'policy':<25}"
    f"{'urgent':>8}{'patient':>8}{'total':>8}{'share':>7}{'moves':>7}{'adapters':>9}"
)


def format_cases(cases: Iterable[Case]) -> str:
    """Return the table of the cases and their goals.

    The columns are the attainment in requests per accelerator and minute, the share of all
    requests that were served within target, the model moves and the adapter loads.
    """
    lines = [HEADER]
    for case in cases:
        for policy in POLICIES:
            outcome = getattr(case, policy)
            lines.append(
                f"{case.deployment:<12}{case.scenario:<16}{policy:<25}"
                f"{outcome.urgent:>8.1f}{outcome.patient:>8.1f}{outcome.total:>8.1f}"
                f"{outcome.attained_share:>7.3f}{outcome.moves:>7d}{outcome.adapter_loads:>9d}"
            )
        for goal in compare_goals(case):
            verdict = "met" if goal.met else "missed"
            lines.append(f"{'':<12}{goal.name:<16}{goal.figure:.3f} (goal {goal.text}): {verdict}")
        if not compare_goals(case)[1].met:
            most = case.bound.total / max(1e-9, case.best_baseline.total)
            lines.append(f"{'':<28}the bound itself is {most:.3f} times the better baseline")
    return "\n".join(lines)
