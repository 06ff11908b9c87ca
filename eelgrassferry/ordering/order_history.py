"""Orders of the current coordinator, kept by a node in case it becomes the next one."""

from ..fleet import ServiceBounds
from .order_update import OrderUpdate
from .takeover import Takeover

__all__ = ["OrderHistory"]


class OrderHistory:
    """Accumulates the coordinator's updates, which contain only changes.

    ``is_known`` is true once a complete update was applied. Entries that are too old to matter to
    a successor are removed.

    >>> history = OrderHistory(ServiceBounds())
    >>> history.apply(OrderUpdate({"u1": 4.0}), complete=True, now=5.0)
    >>> history.apply(OrderUpdate({"u2": 6.0}), complete=False, now=6.0)
    >>> sorted(history.takeover(7.0).last_orders)
    ['u1', 'u2']
    """

    def __init__(self, bounds: ServiceBounds) -> None:
        self.is_known = False
        self._order_retention_s = 2.0 * bounds.order_handover_s
        self._cold_load_retention_s = bounds.cold_load_window_s
        self._last_orders: dict[str, float] = {}
        self._cold_loads: dict[str, list[float]] = {}
        self._pending_loads: dict[str, int] = {}

    def apply(self, update: OrderUpdate, complete: bool, now: float) -> None:
        """Apply an update; a complete one replaces the whole state."""
        if complete:
            self.is_known = True
            self._last_orders.clear()
            self._cold_loads.clear()
            self._pending_loads.clear()
        oldest = now - self._order_retention_s
        self._last_orders.update(update.last_orders)
        self._last_orders = {i: at for i, at in self._last_orders.items() if at >= oldest}
        oldest = now - self._cold_load_retention_s
        for service, times in update.cold_loads.items():
            recent = [at for at in self._cold_loads.get(service, ()) if at >= oldest]
            self._cold_loads[service] = [*recent, *times]
        self._pending_loads.update(update.pending_loads)

    def takeover(self, now: float) -> Takeover:
        """Return the state that a coordinator which starts at ``now`` takes over.

        Pending loads count as begun at ``now``. Without a complete update, the cold loads are not
        known.
        """
        if not self.is_known:
            return Takeover()
        services = self._cold_loads.keys() | self._pending_loads.keys()
        return Takeover(
            dict(self._last_orders),
            {
                name: (*self._cold_loads.get(name, ()), *[now] * self._pending_loads.get(name, 0))
                for name in services
            },
        )
