"""State that a new coordinator takes over from its predecessor."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Takeover"]


@dataclass(frozen=True)
class Takeover:
    """Recent orders of the previous coordinator.

    ``last_orders`` maps instances to the time of their last order. ``cold_loads`` maps services to
    the times at which loads from the weight store began, and is None if these are not known. The
    new coordinator sends no order before ``not_before``.
    """

    last_orders: Mapping[str, float] = field(default_factory=dict)
    cold_loads: Mapping[str, tuple[float, ...]] | None = None
    not_before: float = float("-inf")
