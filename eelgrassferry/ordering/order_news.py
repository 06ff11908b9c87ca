"""What a coordinator tells the nodes of its orders."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["OrderNews"]


@dataclass(frozen=True)
class OrderNews:
    """What has changed since the news before, or everything in complete news.

    ``last_orders`` maps instances to the time by which their last order arrived, ``cold_loads``
    services to the times by which loads from the weight store began, and ``open_loads`` services to
    the number of loads that may begin yet.
    """

    last_orders: Mapping[str, float] = field(default_factory=dict)
    cold_loads: Mapping[str, tuple[float, ...]] = field(default_factory=dict)
    open_loads: Mapping[str, int] = field(default_factory=dict)
