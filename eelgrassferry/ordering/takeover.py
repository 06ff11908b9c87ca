"""State that a new coordinator takes over from its predecessor."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..dispatch import CoordinatorResidency

__all__ = ["Takeover"]


@dataclass(frozen=True)
class Takeover:
    """Recent orders of the previous coordinator, and the state that they led to.

    ``last_orders`` maps instances to the time of their last order. ``cold_loads`` maps services to
    the times at which loads from the weight store began, and is None if these are not known. The
    new coordinator sends no order before ``not_before``. ``residency`` maps instances to what the
    previous coordinator has published of them last. ``own_orders`` are the last orders that this
    node itself has sent, in the form of ``last_orders``; they need no handover.
    """

    last_orders: Mapping[str, float] = field(default_factory=dict)
    cold_loads: Mapping[str, tuple[float, ...]] | None = None
    not_before: float = float("-inf")
    residency: Mapping[str, CoordinatorResidency] = field(default_factory=dict)
    own_orders: Mapping[str, float] = field(default_factory=dict)
