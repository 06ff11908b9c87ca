"""Services, their engines and the models that these can load."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from functools import cached_property

__all__ = ["EngineSpec", "ModelSpec", "Service"]


@dataclass(frozen=True)
class ModelSpec:
    """A model that the upstreams of a service can load. Sizes are in MB, times in seconds.

    A load takes ``load_s`` from the weight store, ``disk_load_s`` from the upstream's local disk
    and ``memory_load_s`` from its host memory. ``adapters`` is the number of adapters of the model,
    and ``adapter_mb`` the size of one.
    """

    name: str
    weights_mb: float
    load_s: float
    memory_load_s: float
    disk_load_s: float
    adapters: int = 0
    adapter_mb: float = 0.0

    def load_time_s(self, in_host_memory: Collection[str], on_disk: Collection[str]) -> float:
        """Return the duration of a load on an upstream that has these models locally."""
        if self.name in in_host_memory:
            return self.memory_load_s
        return self.disk_load_s if self.name in on_disk else self.load_s


@dataclass(frozen=True)
class EngineSpec:
    """The capacity of one model server of a service.

    ``batch_slots`` is the number of requests that run at the same time, and ``cache_tokens`` the
    size of the key-value cache, in tokens, for running requests and cached prefixes.
    ``weights_mb`` is the memory for models and adapters together, and ``adapter_slots`` the
    maximum number of adapters, including those being loaded or unloaded. ``cold_loads_per_s`` is
    the rate of loads from the weight store, summed over all upstreams.
    """

    batch_slots: int
    cache_tokens: int
    weights_mb: float
    adapter_slots: int
    cold_loads_per_s: float
    models: Mapping[str, ModelSpec] = field(default_factory=dict)

    @cached_property
    def adapter_reserve_mb(self) -> float:
        """The memory in MB that adapters need if all adapter slots are in use."""
        largest = max((model.adapter_mb for model in self.models.values()), default=0.0)
        return largest * self.adapter_slots


@dataclass(frozen=True)
class Service:
    """A set of upstreams that serve the same requests.

    ``engine`` is None for a service whose upstreams are not model servers.
    """

    name: str
    engine: EngineSpec | None = None
