"""The engines, the weight store and the disturbances of one run."""

from dataclasses import dataclass
from enum import Enum

from ..settings import Deployment
from .clock import Clock
from .engine import Engine
from .store import FakeStore
from .tally import Tally

__all__ = ["Fleet", "Scenario", "place_models"]

SLOW_FACTOR = 4.0


class Scenario(Enum):
    """What disturbs a run, from a quarter to three quarters of its time."""

    CALM = "calm"
    BURSTS = "bursts"
    SLOW_UPSTREAM = "slow_upstream"
    DOMAIN_CUT = "domain_cut"
    OBJECT_API_DOWN = "object_api_down"


@dataclass
class Fleet:
    """Everything outside the policy that is measured."""

    clock: Clock
    deployment: Deployment
    store: FakeStore
    engines: dict[str, Engine]
    tally: Tally
    moves_allowed: bool = True

    @classmethod
    def build(cls, deployment: Deployment) -> "Fleet":
        """Return idle engines with every model resident once."""
        clock = Clock()
        store = FakeStore(clock, deployment.store)
        engines = {
            upstream.name: Engine(clock, store, deployment, upstream)
            for upstream in deployment.engines
        }
        for name, engine in place_models(deployment):
            engines[engine].place(name)
        return cls(clock, deployment, store, engines, Tally())

    @property
    def moves(self) -> int:
        """Return the model loads and unloads so far."""
        return sum(engine.loads + engine.unloads for engine in self.engines.values())

    def live(self) -> list[Engine]:
        """Return the engines that can be reached."""
        return [engine for engine in self.engines.values() if engine.reachable]

    def slow_engine(self) -> Engine:
        """Return the engine that ``SLOW_UPSTREAM`` slows down: the second fastest."""
        by_speed = sorted(
            self.engines.values(), key=lambda engine: -engine.upstream.decode_tokens_per_s
        )
        return by_speed[1]

    def cut_domain(self) -> str:
        """Return the domain that ``DOMAIN_CUT`` cuts off: that of the third fastest engine."""
        by_speed = sorted(
            self.engines.values(), key=lambda engine: -engine.upstream.decode_tokens_per_s
        )
        return by_speed[2].upstream.domain

    def start(self, scenario: Scenario) -> None:
        """Begin the disturbance. Callers are taken to reach only nodes outside a cut domain."""
        match scenario:
            case Scenario.SLOW_UPSTREAM:
                self.slow_engine().slowness = SLOW_FACTOR
            case Scenario.DOMAIN_CUT:
                for engine in self.engines.values():
                    engine.reachable = engine.upstream.domain != self.cut_domain()
            case Scenario.OBJECT_API_DOWN:
                self.moves_allowed = False
            case _:
                pass

    def stop(self) -> None:
        """End the disturbance."""
        self.moves_allowed = True
        for engine in self.engines.values():
            engine.slowness = 1.0
            engine.reachable = True


def place_models(deployment: Deployment) -> list[tuple[str, str]]:
    """Return one upstream for each model: the largest models first, to the emptiest in proportion
    to memory."""
    free = {upstream.name: upstream.memory_mib for upstream in deployment.engines}
    size = {upstream.name: upstream.memory_mib for upstream in deployment.engines}
    placed = []
    for model in sorted(deployment.models.values(), key=lambda model: -model.memory_mib):
        name = max(free, key=lambda name: (free[name] - model.memory_mib) / size[name])
        free[name] -= model.memory_mib
        placed.append((model.name, name))
    return placed
