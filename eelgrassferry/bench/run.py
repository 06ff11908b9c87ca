"""One measured run of a policy on a trace."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..settings import Deployment
from .bound import attainable
from .fleet import Fleet, Scenario
from .policy import Policy
from .trace import Arrival

__all__ = ["Outcome", "measure", "measure_bound"]

# Time after the last arrival in which answers may complete.
DRAIN_S = 90.0


@dataclass(frozen=True)
class Outcome:
    """Requests served within target per accelerator and minute, and moves."""

    urgent: float
    patient: float
    attained_share: float
    moves: int
    adapter_loads: int
    reasons: tuple[tuple[str, int], ...] = ()

    @property
    def total(self) -> float:
        """Return urgent and patient together."""
        return self.urgent + self.patient


def measure(
    deployment: Deployment,
    arrivals: Sequence[Arrival],
    scenario: Scenario,
    duration_s: float,
    build: Callable[[Fleet], Policy],
) -> Outcome:
    """Run a policy and return what it attained."""
    fleet = Fleet.build(deployment)
    policy = build(fleet)
    clock = fleet.clock

    def arrive(arrival: Arrival) -> None:
        fleet.tally.note_arrival(arrival)
        policy.arrive(arrival)

    def start() -> None:
        before = set(fleet.engines)
        fleet.start(scenario)
        lost = [fleet.engines[name] for name in sorted(before) if not fleet.engines[name].reachable]
        policy.engines_lost(lost)

    def stop() -> None:
        back = [engine for engine in fleet.engines.values() if not engine.reachable]
        fleet.stop()
        policy.engines_back(back)

    until = duration_s + DRAIN_S
    policy.start(until)
    for arrival in arrivals:
        clock.at(arrival.at, lambda arrival=arrival: arrive(arrival))
    clock.at(0.25 * duration_s, start)
    clock.at(0.75 * duration_s, stop)
    clock.run(until)
    attained = fleet.tally.attained
    unit = _accelerators(deployment) * duration_s / 60.0
    return Outcome(
        attained[True] / unit,
        attained[False] / unit,
        attained.total() / max(1, len(arrivals)),
        fleet.moves,
        sum(engine.adapter_loads for engine in fleet.engines.values()),
        tuple(sorted(fleet.tally.reasons.items())),
    )


def measure_bound(
    deployment: Deployment, arrivals: Sequence[Arrival], scenario: Scenario, duration_s: float
) -> Outcome:
    """Return the upper bound for a trace under a disturbance."""
    fleet = Fleet.build(deployment)
    calm = _speed(fleet)
    fleet.start(scenario)
    disturbed = _speed(fleet)

    def speed_at(now: float) -> float:
        return disturbed if 0.25 <= now / duration_s < 0.75 else calm

    served = attainable(arrivals, speed_at, duration_s + DRAIN_S)
    unit = _accelerators(deployment) * duration_s / 60.0
    share = served.total() / max(1, len(arrivals))
    return Outcome(served[True] / unit, served[False] / unit, share, 0, 0)


def _speed(fleet: Fleet) -> float:
    return sum(engine.upstream.decode_tokens_per_s / engine.slowness for engine in fleet.live())


def _accelerators(deployment: Deployment) -> int:
    return sum(upstream.accelerators for upstream in deployment.engines)
