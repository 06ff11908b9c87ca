"""Measurement of one policy, or of the upper bound, on a trace."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..settings import Deployment
from .bound import count_attainable
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
    build_policy: Callable[[Fleet], Policy],
) -> Outcome:
    """Run a policy on a trace and return its outcome.

    The disturbance lasts from a quarter to three quarters of ``duration_s``.
    """
    fleet = Fleet.build(deployment)
    policy = build_policy(fleet)
    clock = fleet.clock

    def on_arrival(arrival: Arrival) -> None:
        fleet.results.record_arrival(arrival)
        policy.on_arrival(arrival)

    def start_disturbance() -> None:
        names = set(fleet.engines)
        fleet.start_disturbance(scenario)
        lost = [fleet.engines[name] for name in sorted(names) if not fleet.engines[name].reachable]
        policy.on_engines_lost(lost)

    def stop_disturbance() -> None:
        recovered = [engine for engine in fleet.engines.values() if not engine.reachable]
        fleet.stop_disturbance()
        policy.on_engines_recovered(recovered)

    until = duration_s + DRAIN_S
    policy.start(until)
    for arrival in arrivals:
        clock.at(arrival.at, lambda arrival=arrival: on_arrival(arrival))
    clock.at(0.25 * duration_s, start_disturbance)
    clock.at(0.75 * duration_s, stop_disturbance)
    clock.run(until)
    attained = fleet.results.attained
    accelerator_minutes = _accelerators(deployment) * duration_s / 60.0
    return Outcome(
        attained[True] / accelerator_minutes,
        attained[False] / accelerator_minutes,
        attained.total() / max(1, len(arrivals)),
        fleet.moves,
        sum(engine.adapter_loads for engine in fleet.engines.values()),
        tuple(sorted(fleet.results.reasons.items())),
    )


def measure_bound(
    deployment: Deployment, arrivals: Sequence[Arrival], scenario: Scenario, duration_s: float
) -> Outcome:
    """Return the upper bound for a trace under the disturbance of a scenario."""
    fleet = Fleet.build(deployment)
    normal_speed = _speed(fleet)
    fleet.start_disturbance(scenario)
    disturbed_speed = _speed(fleet)

    def speed_at(now: float) -> float:
        return disturbed_speed if 0.25 <= now / duration_s < 0.75 else normal_speed

    served = count_attainable(arrivals, speed_at, duration_s + DRAIN_S)
    accelerator_minutes = _accelerators(deployment) * duration_s / 60.0
    share = served.total() / max(1, len(arrivals))
    return Outcome(
        served[True] / accelerator_minutes, served[False] / accelerator_minutes, share, 0, 0
    )


def _speed(fleet: Fleet) -> float:
    return sum(
        engine.upstream.decode_tokens_per_s / engine.slowness
        for engine in fleet.reachable_engines()
    )


def _accelerators(deployment: Deployment) -> int:
    return sum(upstream.accelerators for upstream in deployment.engines)
