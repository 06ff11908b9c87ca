"""Orders to engines and the outcomes that engines report."""

from dataclasses import dataclass
from enum import Enum

from ..placement import OrderKind

__all__ = ["FleetOrder", "OrderAnswer"]


class OrderAnswer(Enum):
    """Answer of an engine to an order.

    ``HOLDS``: the engine is already in the requested state. ``CONFLICT``: another order is in
    progress, or the number of accepted orders differs from the expected one. ``FENCED``: the engine
    has seen a higher epoch. ``OTHER_INSTANCE``: another process answers at the engine's address.
    ``UNKNOWN``: no answer, so the order may be executed now, later or never.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class FleetOrder:
    """Order to load or unload a model or an adapter.

    An engine rejects the order unless it has accepted exactly ``expected_count`` orders before, so
    that a delayed order cannot take effect after newer ones.
    """

    kind: OrderKind
    model: str
    expected_count: int
    adapter: str = ""
