"""What the planner sees, and the moves it returns."""

from dataclasses import dataclass, field
from enum import Enum

from .demand import Demand
from .engine import Item

__all__ = ["ItemPlan", "Move", "MoveKind", "PlanView", "UpstreamPlan"]


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
    """A model, or an adapter with its ``base``, and its demand.

    ``item`` is the version to load. Demand of an adapter is its own and is not part of its
    base's. ``frozen`` means that a version change has the item in hand.
    """

    item: Item
    memory_mib: int
    demand: Demand = field(default_factory=Demand)
    base: str = ""
    min_replicas: int = 1
    frozen: bool = False


@dataclass(frozen=True)
class UpstreamPlan:
    """An upstream's memory, speed and copies.

    ``copies`` and ``loading`` hold items by name; ``retiring`` copies are neither counted as
    copies nor as free. ``fixed`` copies may not be evicted yet; ``barred`` items may not be loaded.
    """

    name: str
    domain: str
    rate: float
    free_mib: int
    copies: dict[str, Item]
    memory_mib: dict[str, int]
    loading: frozenset[str] = frozenset()
    retiring_mib: int = 0
    fixed: frozenset[str] = frozenset()
    barred: frozenset[str] = frozenset()


@dataclass(frozen=True)
class PlanView:
    """The upstreams that may take moves, and everything that may be placed on them.

    ``rate`` of an upstream is in requests per second, and ``move_cost`` in requests served within
    target for each move. ``make_room`` names items whose version change waits for memory.
    """

    items: dict[str, ItemPlan]
    upstreams: dict[str, UpstreamPlan]
    move_cost: float
    max_moves: int = 4
    make_room: tuple[str, ...] = ()
