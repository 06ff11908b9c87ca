"""State of an engine as the engine itself reports it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["EngineReport"]


@dataclass(frozen=True)
class EngineReport:
    """State that an engine reports about itself, some hundred milliseconds old.

    ``residents`` maps each loaded model to its loaded adapters. ``accepted_orders`` counts the
    orders accepted since the engine started. ``order_in_progress`` is true while a model is being
    loaded or unloaded. ``adapters_in_transit`` contains (model, adapter) pairs that are being
    loaded or unloaded.
    """

    residents: Mapping[str, frozenset[str]]
    order_in_progress: bool
    accepted_orders: int
    running: int = 0
    adapters_in_transit: frozenset[tuple[str, ...]] = field(default_factory=frozenset)
    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
