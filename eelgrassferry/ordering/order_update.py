"""Update that the coordinator sends to the nodes about its orders."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["OrderUpdate"]


@dataclass(frozen=True)
class OrderUpdate:
    """Changes since the previous update, or the whole state in a full update.

    ``last_orders`` maps instances to the latest time at which their last order can have arrived.
    ``cold_loads`` maps services to the latest times at which loads from the weight store can have
    begun, and ``pending_loads`` to the number of ordered loads that may still begin.
    """

    last_orders: Mapping[str, float] = field(default_factory=dict)
    cold_loads: Mapping[str, tuple[float, ...]] = field(default_factory=dict)
    pending_loads: Mapping[str, int] = field(default_factory=dict)
