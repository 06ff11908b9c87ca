"""The simulated engines and weight store of one run, and the disturbances applied to them."""

from dataclasses import dataclass
from enum import Enum

from ..settings import Deployment
from .clock import Clock
from .engine import Engine
from .result_counter import ResultCounter
from .store import FakeStore

__all__ = ["Fleet", "Scenario", "place_models"]

SLOWNESS_FACTOR = 4.0


class Scenario(Enum):
    """The disturbance of a run, applied from a quarter to three quarters of its duration."""

    CALM = "calm"
    BURSTS = "bursts"
    SLOW_UPSTREAM = "slow_upstream"
    DOMAIN_CUT = "domain_cut"
    OBJECT_API_DOWN = "object_api_down"


@dataclass
class Fleet:
    """The simulated environment of a policy: clock, engines, weight store, and counters."""

    clock: Clock
    deployment: Deployment
    store: FakeStore
    engines: dict[str, Engine]
    results: ResultCounter
    moves_allowed: bool = True

    @classmethod
    def build(cls, deployment: Deployment) -> "Fleet":
        """Return a fleet of idle engines on which every model is resident once."""
        clock = Clock()
        store = FakeStore(clock, deployment.store)
        engines = {
            upstream.name: Engine(clock, store, deployment, upstream)
            for upstream in deployment.engines
        }
        for name, engine in place_models(deployment):
            engines[engine].place(name)
        return cls(clock, deployment, store, engines, ResultCounter())

    @property
    def moves(self) -> int:
        """The number of model loads and unloads so far."""
        return sum(engine.loads + engine.unloads for engine in self.engines.values())

    def reachable_engines(self) -> list[Engine]:
        """Return the reachable engines."""
        return [engine for engine in self.engines.values() if engine.reachable]

    def slow_engine(self) -> Engine:
        """Return the engine that ``SLOW_UPSTREAM`` slows down: the second fastest."""
        by_speed = sorted(
            self.engines.values(), key=lambda engine: -engine.upstream.decode_tokens_per_s
        )
        return by_speed[1]

    def isolated_domain(self) -> str:
        """Return the domain that ``DOMAIN_CUT`` isolates: that of the third fastest engine."""
        by_speed = sorted(
            self.engines.values(), key=lambda engine: -engine.upstream.decode_tokens_per_s
        )
        return by_speed[2].upstream.domain

    def start_disturbance(self, scenario: Scenario) -> None:
        """Begin the disturbance.

        Nodes inside an isolated domain are not simulated: callers are assumed to reach only nodes
        outside it.
        """
        match scenario:
            case Scenario.SLOW_UPSTREAM:
                self.slow_engine().slowness = SLOWNESS_FACTOR
            case Scenario.DOMAIN_CUT:
                for engine in self.engines.values():
                    engine.reachable = engine.upstream.domain != self.isolated_domain()
            case Scenario.OBJECT_API_DOWN:
                self.moves_allowed = False
            case _:
                pass

    def stop_disturbance(self) -> None:
        """End the disturbance."""
        self.moves_allowed = True
        for engine in self.engines.values():
            engine.slowness = 1.0
            engine.reachable = True


def place_models(deployment: Deployment) -> list[tuple[str, str]]:
    """Return the initial placement: pairs of a model and the upstream that holds it.

    Models are placed in descending order of size, each on the upstream that would have the
    largest share of its memory free afterwards.
    """
    free_mib = {upstream.name: upstream.memory_mib for upstream in deployment.engines}
    size_mib = {upstream.name: upstream.memory_mib for upstream in deployment.engines}
    placement = []
    for model in sorted(deployment.models.values(), key=lambda model: -model.memory_mib):
        name = max(free_mib, key=lambda name: (free_mib[name] - model.memory_mib) / size_mib[name])
        free_mib[name] -= model.memory_mib
        placement.append((model.name, name))
    return placement
