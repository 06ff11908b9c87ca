"""Simulated engine for embedding, measurements and tests."""

from dataclasses import dataclass, field

from .engine import EngineOrder, EngineStatus, Item, OrderKind, OrderState, Resident

__all__ = ["SimulatedEngine"]


@dataclass
class SimulatedEngine:
    """Simulated engine that carries out orders and refuses loads that do not fit.

    ``overcommits`` counts the loads that did not fit when they arrived. If ``checks_fence`` is
    False, the engine accepts orders with any fencing number. A repeated order id has no effect.

    >>> engine = SimulatedEngine(10)
    >>> engine.receive(EngineOrder("o1", OrderKind.LOAD_MODEL, "m1", "1", 11, 1), 0.0)
    507
    """

    memory_mib: int
    checks_fence: bool = True
    model_load_s: float = 2.0
    adapter_load_s: float = 0.005
    fence: int = 0
    overcommits: int = 0
    loads: int = 0
    unloads: int = 0
    residents: dict[Item, int] = field(default_factory=dict)
    loading: dict[Item, tuple[int, float, str]] = field(default_factory=dict)
    orders: dict[str, OrderState] = field(default_factory=dict)

    def receive(self, order: EngineOrder, now: float) -> int:
        """Handle an order and return the HTTP status of its answer."""
        self.advance(now)
        if self.checks_fence and order.fence < self.fence:
            return 409
        if order.order_id in self.orders:
            return 202
        self.fence = max(self.fence, order.fence)
        self.orders[order.order_id] = OrderState.DONE
        if order.kind is OrderKind.FENCE:
            return 202
        item = Item(order.kind.item_kind, order.name, order.version)
        if order.kind.is_load:
            return self._load(order, item, now)
        if item in self.loading:
            self.orders[order.order_id] = OrderState.FAILED
            return 422
        if self.residents.pop(item, None) is not None:
            self.unloads += 1
        return 202

    def status(self, now: float) -> EngineStatus:
        """Return the status at ``now``."""
        self.advance(now)
        return EngineStatus(
            self.memory_mib,
            self.used_mib,
            self.fence,
            tuple(Resident(item, size) for item, size in self.residents.items()),
            tuple(Resident(item, size) for item, (size, _, _) in self.loading.items()),
            dict(self.orders),
        )

    def restart(self) -> None:
        """Clear all state, as a restart after a crash does."""
        self.residents.clear()
        self.loading.clear()
        self.orders.clear()
        self.fence = 0

    @property
    def used_mib(self) -> int:
        """Memory in use, including loads in progress, in MiB."""
        return sum(self.residents.values()) + sum(size for size, _, _ in self.loading.values())

    def advance(self, now: float) -> None:
        """Complete the loads that are due at ``now``."""
        for item, (size, ready_s, order_id) in list(self.loading.items()):
            if now >= ready_s:
                del self.loading[item]
                self.residents[item] = size
                self.orders[order_id] = OrderState.DONE

    def _load(self, order: EngineOrder, item: Item, now: float) -> int:
        if item in self.residents or item in self.loading:
            return 202
        if self.used_mib + order.memory_mib > self.memory_mib:
            self.overcommits += 1
            self.orders[order.order_id] = OrderState.FAILED
            return 507
        adapter = order.kind is OrderKind.LOAD_ADAPTER
        load_s = self.adapter_load_s if adapter else self.model_load_s
        self.loads += 1
        self.orders[order.order_id] = OrderState.RUNNING
        self.loading[item] = (order.memory_mib, now + load_s, order.order_id)
        return 202
