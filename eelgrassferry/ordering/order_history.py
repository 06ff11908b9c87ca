"""What a node has heard of the coordinator's orders, in case it follows it."""

from ..fleet import ServiceBounds
from .inheritance import Inheritance
from .order_news import OrderNews

__all__ = ["OrderHistory"]


class OrderHistory:
    """Adds up the coordinator's news, each of which names only changes.

    >>> history = OrderHistory(ServiceBounds())
    >>> history.take(OrderNews({"u1": 4.0}), complete=True, now=5.0)
    >>> history.take(OrderNews({"u2": 6.0}), complete=False, now=6.0)
    >>> sorted(history.inheritance(7.0).last_orders)
    ['u1', 'u2']
    """

    def __init__(self, bounds: ServiceBounds) -> None:
        self.is_known = False
        self._keep_orders_s = 2.0 * bounds.order_handover_s
        self._keep_loads_s = bounds.cold_load_window_s
        self._last_orders: dict[str, float] = {}
        self._cold_loads: dict[str, list[float]] = {}
        self._open_loads: dict[str, int] = {}

    def take(self, news: OrderNews, complete: bool, now: float) -> None:
        """Take news; complete news replaces everything known before."""
        if complete:
            self.is_known = True
            self._last_orders.clear()
            self._cold_loads.clear()
            self._open_loads.clear()
        oldest = now - self._keep_orders_s
        self._last_orders.update(news.last_orders)
        self._last_orders = {i: at for i, at in self._last_orders.items() if at >= oldest}
        oldest = now - self._keep_loads_s
        for service, times in news.cold_loads.items():
            kept = [at for at in self._cold_loads.get(service, ()) if at >= oldest]
            self._cold_loads[service] = [*kept, *times]
        self._open_loads.update(news.open_loads)

    def inheritance(self, now: float) -> Inheritance:
        """Return what a successor that begins now has to know."""
        if not self.is_known:
            return Inheritance()
        services = self._cold_loads.keys() | self._open_loads.keys()
        return Inheritance(
            dict(self._last_orders),
            {
                name: (*self._cold_loads.get(name, ()), *[now] * self._open_loads.get(name, 0))
                for name in services
            },
        )
