"""Forecast of when a model that no upstream has loaded can be served."""

from ..fleet import EngineSpec, UpstreamDirectory
from ..routing import UpstreamState
from .fleet_residency import FleetResidency

__all__ = ["LoadForecast"]

# Time from a request to the start of the load that it causes, in seconds: the node's status, a plan
# and the order.
ORDER_DELAY_S = 0.15


class LoadForecast:
    """Forecast from the loads that the coordinator reports and from the weights on engines."""

    def __init__(self, directory: UpstreamDirectory, residency: FleetResidency) -> None:
        self._directory = directory
        self._residency = residency

    def ready_at(self, service: str, engine: EngineSpec, model: str, now: float) -> float | None:
        """Return the earliest time at which a model without a live copy may be loaded.

        A load in progress ends as the coordinator expects. Otherwise the load is assumed to begin
        soon, on the engine that takes the least time for it. Returns None if that is not known:
        without a coordinator, without a live engine, or if an engine has the model already.
        """
        loading_until = self._residency.expected_load_time(service, model)
        if loading_until is not None:
            return max(now, loading_until)
        spec = engine.models.get(model)
        if spec is None or not self._residency.has_coordinator(now):
            return None
        live = [
            entry
            for entry in self._directory.of_service(service)
            if entry.state is UpstreamState.LIVE
        ]
        if not live or any(
            self._residency.is_resident(entry.instance, model, "", now) for entry in live
        ):
            return None
        load_s = min(spec.load_time_s(entry.in_host_memory, entry.on_disk) for entry in live)
        return now + ORDER_DELAY_S + load_s
