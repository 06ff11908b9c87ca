"""What the planner sees, and the moves it returns."""

from dataclasses import dataclass, field
from enum import Enum

from .demand import Demand
from .engine import Item

__all__ = ["ADAPTER_STAY_S", "ItemPlan", "Move", "MoveKind", "PlanView", "UpstreamPlan"]

# An adapter that was loaded or used this recently is not idle.
ADAPTER_STAY_S = 2.0
NO_DEMAND = Demand()


class MoveKind(Enum):
    """A load or an unload."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Move:
    """One change of residency. ``gain`` is in requests served within target."""

    kind: MoveKind
    upstream: str
    item: Item
    memory_mib: int
    reason: str
    gain: float = 0.0


@dataclass(frozen=True)
class ItemPlan:
    """A model, or an adapter with its ``base``.

    ``item`` is the version to load. ``frozen`` means that a version change has the item in hand.
    """

    item: Item
    memory_mib: int
    base: str = ""
    min_replicas: int = 1
    frozen: bool = False


@dataclass(frozen=True)
class UpstreamPlan:
    """An upstream's memory, speed and copies.

    ``copies`` and ``loading`` hold items by name; ``retiring`` copies are neither counted as
    copies nor as free. ``fixed_until_s`` is the time until which a copy may not be evicted;
    ``barred`` items may not be loaded.
    """

    name: str
    domain: str
    rate: float
    free_mib: int
    copies: dict[str, Item]
    memory_mib: dict[str, int]
    loading: frozenset[str] = frozenset()
    retiring_mib: int = 0
    fixed_until_s: dict[str, float] = field(default_factory=dict)
    barred: frozenset[str] = frozenset()


@dataclass(frozen=True)
class PlanView:
    """The upstreams that may take moves, and everything that may be placed on them.

    ``rate`` of an upstream is in requests per second, and ``move_cost`` in requests served within
    target for each move. ``demands`` holds the names that have any; demand of an adapter is its own
    and is not part of its base's. ``make_room`` names items whose version change waits for
    memory.
    """

    items: dict[str, ItemPlan]
    upstreams: dict[str, UpstreamPlan]
    demands: dict[str, Demand]
    move_cost: float
    now: float = 0.0
    max_moves: int = 4
    make_room: tuple[str, ...] = ()

    def demand(self, name: str) -> Demand:
        """Return the demand of a name."""
        return self.demands.get(name, NO_DEMAND)
