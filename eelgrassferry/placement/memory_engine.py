"""An engine in memory, for embedding, measurements and tests."""

from dataclasses import dataclass, field

from .engine import EngineOrder, EngineStatus, Item, OrderKind, OrderState, Resident

__all__ = ["MemoryEngine"]


@dataclass
class MemoryEngine:
    """Obeys orders and refuses what does not fit.

    ``overcommits`` counts loads that did not fit when they arrived. An engine that does not check
    fencing numbers obeys any order. An order id that is already known changes nothing.

    >>> engine = MemoryEngine(10)
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
        """Take an order and return the HTTP status of its answer."""
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
        """Return the exact status at ``now``."""
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
        """Come back empty, as an engine does after a crash."""
        self.residents.clear()
        self.loading.clear()
        self.orders.clear()
        self.fence = 0

    @property
    def used_mib(self) -> int:
        """Memory in use, loads in progress included."""
        return sum(self.residents.values()) + sum(size for size, _, _ in self.loading.values())

    def advance(self, now: float) -> None:
        """Finish the loads that are due."""
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
