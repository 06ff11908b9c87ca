"""Input and output types of the planner."""

from dataclasses import dataclass, field
from enum import Enum

from .demand import Demand
from .engine import Item

__all__ = ["ADAPTER_MIN_RESIDENCY_S", "ItemView", "Move", "MoveKind", "PlanView", "UpstreamView"]

# An adapter stays resident for at least this time after its load and after its last use.
ADAPTER_MIN_RESIDENCY_S = 2.0
NO_DEMAND = Demand()


class MoveKind(Enum):
    """Kind of a move."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Move:
    """Load or unload of one copy. ``gain`` is in requests served within target."""

    kind: MoveKind
    upstream: str
    item: Item
    memory_mib: int
    reason: str
    gain: float = 0.0


@dataclass(frozen=True)
class ItemView:
    """Model, or adapter with its ``base``, that can be placed.

    ``item`` is the version to load. ``frozen`` is True while a version change controls the item.
    """

    item: Item
    memory_mib: int
    base: str = ""
    min_replicas: int = 1
    frozen: bool = False


@dataclass(frozen=True)
class UpstreamView:
    """Memory, speed and copies of an upstream.

    Attributes
    ----------
    rate : float
        Requests per second that the upstream can serve.
    copies : dict
        Resident items by name, without retiring copies.
    memory_mib : dict
        Memory of each copy.
    loading : frozenset of str
        Names of the items that are being loaded.
    retiring_mib : int
        Memory of the copies that are being unloaded. It is not part of ``free_mib``.
    protected_until_s : dict
        Time before which a copy must not be evicted.
    backing_off : frozenset of str
        Names of the items that must not be loaded because a load failed recently.
    """

    name: str
    domain: str
    rate: float
    free_mib: int
    copies: dict[str, Item]
    memory_mib: dict[str, int]
    loading: frozenset[str] = frozenset()
    retiring_mib: int = 0
    protected_until_s: dict[str, float] = field(default_factory=dict)
    backing_off: frozenset[str] = frozenset()


@dataclass(frozen=True)
class PlanView:
    """Snapshot of a planning area: the available upstreams and the items to place on them.

    ``move_cost`` is the cost of one move in requests served within target. ``demands`` contains
    only names with demand; the demand for an adapter is not part of the demand for its base model.
    ``changes_needing_memory`` lists the items whose version change waits for memory.
    """

    items: dict[str, ItemView]
    upstreams: dict[str, UpstreamView]
    demands: dict[str, Demand]
    move_cost: float
    now: float = 0.0
    max_moves: int = 4
    changes_needing_memory: tuple[str, ...] = ()

    def demand(self, name: str) -> Demand:
        """Return the demand for a model or adapter."""
        return self.demands.get(name, NO_DEMAND)
