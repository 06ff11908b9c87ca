"""Measurement of one policy, or of the upper bound, on a trace."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..settings import Deployment
from .bound import attainable
from .fleet import Fleet, Scenario
from .policy import Policy
from .trace import Arrival

__all__ = ["Outcome", "measure", "measure_bound"]

# Time after the end of the trace for outstanding answers to complete.
DRAIN_S = 90.0


@dataclass(frozen=True)
class Outcome:
    """The figures of one run.

    ``urgent`` and ``patient`` are requests served within target per accelerator and minute, and
    ``attained_share`` is their share of all requests. ``moves`` counts model loads and unloads.
    ``reasons`` counts the requests that were not served within target.
    """

    urgent: float
    patient: float
    attained_share: float
    moves: int
    adapter_loads: int
    reasons: tuple[tuple[str, int], ...] = ()

    @property
    def total(self) -> float:
        """The sum of ``urgent`` and ``patient``."""
        return self.urgent + self.patient


def measure(
    deployment: Deployment,
    arrivals: Sequence[Arrival],
    scenario: Scenario,
    duration_s: float,
    build: Callable[[Fleet], Policy],
) -> Outcome:
    """Run a policy on a trace and return its outcome.

    The disturbance lasts from a quarter to three quarters of ``duration_s``.
    """
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
    """Return the upper bound for a trace under the disturbance of a scenario."""
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
