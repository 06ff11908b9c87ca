"""Orders to engines and their answers."""

from dataclasses import dataclass
from enum import Enum

from ..placement import OrderKind

__all__ = ["FleetOrder", "OrderAnswer"]


class OrderAnswer(Enum):
    """What an engine said of an order.

    ``HOLDS``: it is so already. ``CONFLICT``: another order is in progress, or the count of
    accepted orders differs. ``FENCED``: a higher epoch was seen. ``UNKNOWN``: no answer, so the
    order may be carried out at once, later or never.
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
    """One order. The engine declines it unless it has accepted ``expected_count`` orders so far,
    so that an order which arrives late cannot follow newer ones.
    """

    kind: OrderKind
    model: str
    expected_count: int
    adapter: str = ""
