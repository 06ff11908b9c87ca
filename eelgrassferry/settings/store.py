"""Settings of the weight store."""

from dataclasses import dataclass

__all__ = ["WeightStore"]


@dataclass(frozen=True)
class WeightStore:
    """Address and limits of the weight store, which all loads of a site share.

    ``loads_per_s`` and ``slots`` limit the rate and the concurrency of model loads.
    ``adapter_load_s`` is the load time of an adapter in seconds while at most ``adapter_slots``
    adapters are in transit; beyond that, the load time grows in proportion to their number.
    """

    address: str = ""
    loads_per_s: float = 1.5
    slots: int = 2
    adapter_load_s: float = 0.005
    adapter_slots: int = 16
