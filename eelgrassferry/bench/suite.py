"""The cases of the benchmark and their goals."""

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

__all__ = ["FULL", "SHORT", "Case", "Goal", "SuiteOptions", "compare_goals", "run_suite"]

NODE_COUNT = 7
PATIENT_TARGET_S = 60.0
BOUND_SHARE_GOAL = 0.9
BASELINE_GAIN_GOAL = 4 / 3
MOVES_SHARE_GOAL = 1 / 3


@dataclass(frozen=True)
class SuiteOptions:
    """The cases to measure and the duration of each, in seconds of virtual time.

    All random choices depend only on ``seed``.
    """

    duration_s: float
    deployments: tuple[str, ...]
    scenarios: tuple[Scenario, ...]
    seed: int = 7


@dataclass(frozen=True)
class Goal:
    """A figure with its limit from docs/design.md 1.3.

    The limit is a minimum if ``at_least`` is True, otherwise a maximum.
    """

    name: str
    figure: float
    limit: float
    at_least: bool

    @property
    def met(self) -> bool:
        """Whether the figure meets the limit."""
        return self.figure >= self.limit if self.at_least else self.figure <= self.limit

    @property
    def text(self) -> str:
        """The limit in words."""
        return f"at {'least' if self.at_least else 'most'} {self.limit:.2f}"


@dataclass(frozen=True)
class Case:
    """The outcomes of all policies for one deployment in one scenario.

    ``routed`` is the outcome of the router and planner of this project.
    """

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
        """The outcomes of the baselines."""
        return self.round_robin, self.least_outstanding, self.least_outstanding_spill

    @property
    def best_baseline(self) -> Outcome:
        """The outcome of the baseline that served most requests within target."""
        return max(self.baselines, key=lambda outcome: outcome.total)

    @property
    def bound_share(self) -> float:
        """The attainment of this project's router as a share of the upper bound."""
        return self.routed.total / max(1e-9, self.bound.total)

    @property
    def baseline_gain(self) -> float:
        """The attainment of this project's router divided by that of the best baseline."""
        return self.routed.total / max(1e-9, self.best_baseline.total)

    @property
    def moves_share(self) -> float:
        """The moves of this project's router divided by those of the best baseline that has any.

        A baseline that starts with every model resident and never adds a copy makes no moves and
        can't be compared with. If no baseline makes any, the value is 0 or infinite.
        """
        moving = [outcome for outcome in self.baselines if outcome.moves]
        if not moving:
            return 0.0 if not self.routed.moves else float("inf")
        return self.routed.moves / max(moving, key=lambda outcome: outcome.total).moves

    def as_record(self) -> dict[str, object]:
        """Return the fields and the compared figures as a dictionary for JSON."""
        record = asdict(self)
        for name in ("bound_share", "baseline_gain", "moves_share"):
            record[name] = round(getattr(self, name), 4)
        return record


DEPLOYMENT_NAMES = ("cronometria", "decal_works")
FULL = SuiteOptions(300.0, DEPLOYMENT_NAMES, tuple(Scenario))
# Seeded, so that each run gives the same result, and done in a few seconds.
SHORT = SuiteOptions(60.0, DEPLOYMENT_NAMES, (Scenario.BURSTS,))
BUILDERS = {"cronometria": build_cronometria, "decal_works": build_decal_works}


def run_suite(options: SuiteOptions) -> Iterator[Case]:
    """Measure the cases one by one and yield each."""
    for name in options.deployments:
        deployment = BUILDERS[name]()
        for scenario in options.scenarios:
            yield run_case(name, deployment, scenario, options)


def run_case(name: str, deployment: Deployment, scenario: Scenario, options: SuiteOptions) -> Case:
    """Measure every policy on the same trace."""
    shape = CALM if scenario is Scenario.CALM else BURSTS
    # The seed contains the repr of the shape: renaming TraceShape or a field changes the trace.
    rng = Random(f"{options.seed}/{name}/{shape}")
    arrivals = build_trace(deployment, shape, options.duration_s, NODE_COUNT, PATIENT_TARGET_S, rng)
    conditions = deployment, arrivals, scenario, options.duration_s
    return Case(
        name,
        scenario.value,
        options.duration_s,
        measure(*conditions, RoundRobin),
        measure(*conditions, LeastOutstanding),
        measure(*conditions, LeastOutstandingSpill),
        measure(*conditions, lambda fleet: RoutedNodes(fleet, NODE_COUNT, Random(1))),
        measure_bound(*conditions),
    )


def compare_goals(case: Case) -> tuple[Goal, ...]:
    """Return the goals of a case with the figures that it attained."""
    return (
        Goal("bound_share", case.bound_share, BOUND_SHARE_GOAL, at_least=True),
        Goal("baseline_gain", case.baseline_gain, BASELINE_GAIN_GOAL, at_least=True),
        Goal("moves_share", case.moves_share, MOVES_SHARE_GOAL, at_least=False),
    )
