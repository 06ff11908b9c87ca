"""A service and, for model servers, what its engines hold."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

__all__ = ["Engine", "ModelSpec", "Service"]


@dataclass(frozen=True)
class ModelSpec:
    """A model that upstreams of a service can load. Sizes in MB, times in seconds.

    A load takes ``load_s`` from the weight store, ``disk_load_s`` from the upstream's own disk and
    ``memory_load_s`` from a copy in its memory. ``adapters`` is the number of its adapters.
    """

    name: str
    weights_mb: float
    load_s: float
    memory_load_s: float
    disk_load_s: float
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True)
class Engine:
    """What one model server of a service can hold and run.

    ``batch_slots`` requests run at once, ``cache_tokens`` is the memory for their tokens and for
    kept prefixes, ``weights_mb`` the memory for models and adapters together, ``adapter_slots``
    the number of adapters, those in transit included. ``cold_loads_per_s`` is the rate of the
    weight store over all upstreams.
    """

    batch_slots: int
    cache_tokens: int
    weights_mb: float
    adapter_slots: int
    cold_loads_per_s: float
    models: Mapping[str, ModelSpec] = field(default_factory=dict)

    @cached_property
    def adapter_reserve_mb(self) -> float:
        """Memory that all adapter places may take."""
        largest = max((model.adapter_mb for model in self.models.values()), default=0.0)
        return largest * self.adapter_slots


@dataclass(frozen=True)
class Service:
    """A set of upstreams that serve the same requests. ``engine`` is None for a plain service."""

    name: str
    engine: Engine | None = None
