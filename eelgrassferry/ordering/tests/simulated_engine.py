"""Simulation of an engine's side of the order protocol, in virtual time."""

from dataclasses import dataclass, field, replace

from ...fleet import EngineSpec, UpstreamEntry
from ...placement import OrderKind
from .. import EngineReport, FleetOrder, OrderAnswer

__all__ = ["Overcommitted", "SimulatedEngine"]

UNLOAD_S = 0.1


class Overcommitted(AssertionError):
    """An engine was ordered to exceed its memory or its adapter slots."""


@dataclass
class SimulatedEngine:
    """Engine that executes orders one at a time.

    ``pending_change`` is the model change in progress: its kind, the model and the completion time.
    """

    spec: EngineSpec
    entry: UpstreamEntry
    count: int = 0
    models: set[str] = field(default_factory=set)
    adapters: set[tuple[str, str]] = field(default_factory=set)
    pending_change: tuple[OrderKind, str, float] | None = None

    def __post_init__(self) -> None:
        self.models = set(self.entry.residents)

    def advance(self, now: float) -> bool:
        """Complete a change that is due; return whether the registry entry changed."""
        if self.pending_change is None or now < self.pending_change[2]:
            return False
        kind, model, _ = self.pending_change
        self.pending_change = None
        if kind is OrderKind.LOAD_MODEL:
            self.models.add(model)
        else:
            self.models.discard(model)
            self.adapters = {pair for pair in self.adapters if pair[0] != model}
        residents = {
            name: frozenset(a for m, a in self.adapters if m == name) for name in self.models
        }
        on_disk = self.entry.on_disk | self.models
        self.entry = replace(self.entry, residents=residents, on_disk=frozenset(on_disk))
        return True

    def handle_order(self, order: FleetOrder, now: float) -> OrderAnswer:
        """Execute or reject an order that has arrived, and return the answer."""
        self.advance(now)
        if self.pending_change is not None or order.expected_count != self.count:
            return OrderAnswer.CONFLICT
        pair = (order.model, order.adapter)
        match order.kind:
            case OrderKind.LOAD_MODEL:
                if order.model in self.models:
                    return OrderAnswer.HOLDS
                self._check_memory(order.model)
                spec = self.spec.models[order.model]
                is_on_disk = order.model in self.entry.on_disk
                load_s = spec.disk_load_s if is_on_disk else spec.load_s
                self.pending_change = (order.kind, order.model, now + load_s)
            case OrderKind.UNLOAD_MODEL:
                self.pending_change = (order.kind, order.model, now + UNLOAD_S)
            case OrderKind.LOAD_ADAPTER:
                if order.model not in self.models:
                    return OrderAnswer.REJECTED
                if pair in self.adapters:
                    return OrderAnswer.HOLDS
                if len(self.adapters) >= self.spec.adapter_slots:
                    raise Overcommitted(f"adapter slots of {self.entry.instance} exceeded")
                self.adapters.add(pair)
            case OrderKind.UNLOAD_ADAPTER:
                self.adapters.discard(pair)
                self.count += 1
                return OrderAnswer.HOLDS
        self.count += 1
        return OrderAnswer.ACCEPTED

    def report(self) -> EngineReport:
        """Return the engine's current report."""
        residents = {
            name: frozenset(a for m, a in self.adapters if m == name) for name in self.models
        }
        return EngineReport(
            residents, self.pending_change is not None, self.count, on_disk=self.entry.on_disk
        )

    def _check_memory(self, model: str) -> None:
        models = self.spec.models
        used_mb = sum(models[name].weights_mb for name in self.models)
        used_mb += sum(models[name].adapter_mb for name, _ in self.adapters)
        if used_mb + models[model].weights_mb > self.spec.weights_mb:
            raise Overcommitted(f"memory of {self.entry.instance} exceeded")
