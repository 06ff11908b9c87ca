"""What a coordinator knows of the orders that its predecessor gave."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Inheritance"]


@dataclass(frozen=True)
class Inheritance:
    """``last_orders`` maps instances to the time of their last order, ``cold_loads`` services to
    the times at which loads from the weight store began, None where that is not known. No engine
    gets an order before ``not_before``.
    """

    last_orders: Mapping[str, float] = field(default_factory=dict)
    cold_loads: Mapping[str, tuple[float, ...]] | None = None
    not_before: float = float("-inf")
