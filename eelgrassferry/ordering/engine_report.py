"""An engine's own report of what it holds and runs, some hundred milliseconds old."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["EngineReport"]


@dataclass(frozen=True)
class EngineReport:
    """``accepted_orders`` counts since the engine's start. ``order_in_progress`` is true while a
    model is loaded or unloaded. ``adapters_in_transit`` are pairs of model and adapter.
    """

    residents: Mapping[str, frozenset[str]]
    order_in_progress: bool
    accepted_orders: int
    running: int = 0
    adapters_in_transit: frozenset[tuple[str, ...]] = field(default_factory=frozenset)
    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
