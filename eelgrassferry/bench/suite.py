"""The measured cases and their goals."""

from collections.abc import Iterator
from dataclasses import asdict, dataclass
from random import Random

from ..settings import Deployment
from .baselines import LeastOutstanding, LeastOutstandingSpill, RoundRobin
from .deployments import build_cronometria, build_decal_works
from .fleet import Scenario
from .routed import RoutedNodes
from .run import Outcome, measure, measure_bound
from .trace import BURSTS, CALM, build_trace

__all__ = ["FULL", "SHORT", "Case", "Goal", "Size", "compare_goals", "run_suite"]

NODES = 7
PATIENT_TARGET_S = 60.0
BOUND_SHARE_GOAL = 0.9
BASELINE_GAIN_GOAL = 4 / 3
MOVES_SHARE_GOAL = 1 / 3


@dataclass(frozen=True)
class Size:
    """How long and which cases. ``seed`` fixes everything random."""

    duration_s: float
    deployments: tuple[str, ...]
    scenarios: tuple[Scenario, ...]
    seed: int = 7


@dataclass(frozen=True)
class Goal:
    """A figure and its limit from docs/design.md 1.3."""

    name: str
    figure: float
    limit: float
    at_least: bool

    @property
    def met(self) -> bool:
        """Return whether the figure is on the right side of the limit."""
        return self.figure >= self.limit if self.at_least else self.figure <= self.limit

    @property
    def text(self) -> str:
        """Return the limit in words."""
        return f"at {'least' if self.at_least else 'most'} {self.limit:.2f}"


@dataclass(frozen=True)
class Case:
    """The outcomes of one deployment in one scenario."""

    deployment: str
    scenario: str
    duration_s: float
    round_robin: Outcome
    least_outstanding: Outcome
    least_outstanding_spill: Outcome
    routed: Outcome
    bound: Outcome

    @property
    def baselines(self) -> tuple[Outcome, ...]:
        """Return the outcomes of the baselines."""
        return self.round_robin, self.least_outstanding, self.least_outstanding_spill

    @property
    def best_baseline(self) -> Outcome:
        """Return the baseline that attained most."""
        return max(self.baselines, key=lambda outcome: outcome.total)

    @property
    def bound_share(self) -> float:
        """Return this code's attainment as a share of the bound."""
        return self.routed.total / max(1e-9, self.bound.total)

    @property
    def baseline_gain(self) -> float:
        """Return this code's attainment over the better baseline's."""
        return self.routed.total / max(1e-9, self.best_baseline.total)

    @property
    def moves_share(self) -> float:
        """Return this code's moves over those of the best baseline that makes any.

        A baseline that starts with every model resident and never adds a copy makes no moves, so
        there is no share of them.
        """
        moving = [outcome for outcome in self.baselines if outcome.moves]
        if not moving:
            return 0.0 if not self.routed.moves else float("inf")
        return self.routed.moves / max(moving, key=lambda outcome: outcome.total).moves

    def as_record(self) -> dict[str, object]:
        """Return a form for JSON."""
        record = asdict(self)
        for name in ("bound_share", "baseline_gain", "moves_share"):
            record[name] = round(getattr(self, name), 4)
        return record


BOTH = ("cronometria", "decal_works")
FULL = Size(300.0, BOTH, tuple(Scenario))
# Gives the same verdict each time in a few seconds.
SHORT = Size(60.0, BOTH, (Scenario.BURSTS,))
BUILDERS = {"cronometria": build_cronometria, "decal_works": build_decal_works}


def run_suite(size: Size) -> Iterator[Case]:
    """Measure each case of a size."""
    for name in size.deployments:
        deployment = BUILDERS[name]()
        for scenario in size.scenarios:
            yield run_case(name, deployment, scenario, size)


def run_case(name: str, deployment: Deployment, scenario: Scenario, size: Size) -> Case:
    """Measure every policy on the same trace."""
    shape = CALM if scenario is Scenario.CALM else BURSTS
    rng = Random(f"{size.seed}/{name}/{shape}")
    arrivals = build_trace(deployment, shape, size.duration_s, NODES, PATIENT_TARGET_S, rng)
    given = deployment, arrivals, scenario, size.duration_s
    return Case(
        name,
        scenario.value,
        size.duration_s,
        measure(*given, RoundRobin),
        measure(*given, LeastOutstanding),
        measure(*given, LeastOutstandingSpill),
        measure(*given, lambda fleet: RoutedNodes(fleet, NODES, Random(1))),
        measure_bound(*given),
    )


def compare_goals(case: Case) -> tuple[Goal, ...]:
    """Return the figures of a case that have goals."""
    return (
        Goal("bound_share", case.bound_share, BOUND_SHARE_GOAL, at_least=True),
        Goal("baseline_gain", case.baseline_gain, BASELINE_GAIN_GOAL, at_least=True),
        Goal("moves_share", case.moves_share, MOVES_SHARE_GOAL, at_least=False),
    )
