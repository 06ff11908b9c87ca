"""Services and registry entries for tests."""

from ...fleet import EngineSpec, ModelSpec, Service, ServiceBounds, UpstreamEntry
from ...routing import UpstreamState

__all__ = ["BOUNDS", "make_entry", "make_service"]

BOUNDS = ServiceBounds()


def make_service(models: int = 6, adapters: int = 12, slots: int = 4) -> Service:
    """Return a service whose engines have memory for two of its models."""
    specs = {
        f"m{i}": ModelSpec(f"m{i}", 100.0, 1.2, 0.3, 0.4, adapters, 1.0) for i in range(models)
    }
    engine = EngineSpec(
        batch_slots=8,
        cache_tokens=20_000,
        weights_mb=210.0,
        adapter_slots=slots,
        cold_loads_per_s=1.4,
        models=specs,
    )
    return Service("chat", engine)


def make_entry(instance: str, *models: str, on_disk: tuple[str, ...] = ()) -> UpstreamEntry:
    """Return the registry entry of a live engine with some models loaded."""
    return UpstreamEntry(
        instance,
        "chat",
        f"10.0.0.{int(instance[1:]) + 1}:80",
        "a",
        8,
        UpstreamState.LIVE,
        started_ms=1,
        residents={model: frozenset() for model in models},
        on_disk=frozenset((*models, *on_disk)),
    )
