"""The weight store's limits."""

from dataclasses import dataclass

__all__ = ["WeightStore"]


@dataclass(frozen=True)
class WeightStore:
    """Limits that all loads of a site share.

    ``loads_per_s`` and ``slots`` bound model loads; ``adapter_load_s`` holds while at most
    ``adapter_slots`` adapters are in transit, and grows in proportion beyond that.
    """

    address: str = ""
    loads_per_s: float = 1.5
    slots: int = 2
    adapter_load_s: float = 0.005
    adapter_slots: int = 16
