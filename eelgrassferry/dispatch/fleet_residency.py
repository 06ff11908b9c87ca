"""Models and adapters that are loaded at each upstream.

Two sources are combined. Upstreams register their loaded models and adapters in the store; these
entries lag for adapters and are not updated while the store is down. The coordinator reports the
effect of its orders, but there is not always a coordinator.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..fleet import UpstreamDirectory

__all__ = ["CoordinatorResidency", "FleetResidency"]

# Time in seconds for which an upstream's answer that a model or adapter is not loaded overrides the
# other sources. A registry entry lags by some hundred ms.
ABSENCE_VALID_S = 0.6
# Time in seconds for which the coordinator's report on models is valid after the last contact. A
# stopped coordinator loads and unloads nothing; the time covers an order still in transit.
COORDINATOR_VALID_S = 2.0


@dataclass(frozen=True)
class CoordinatorResidency:
    """Residency of one incarnation of an upstream, as reported by the coordinator.

    ``started_ms`` identifies the incarnation. ``live`` is the set of models that accept requests,
    ``adapters`` maps models to their loaded adapters, and ``loading`` maps models to the expected
    time of completion, in seconds.
    """

    started_ms: int
    live: frozenset[str] = frozenset()
    adapters: Mapping[str, frozenset[str]] = field(default_factory=dict)
    loading: Mapping[str, float] = field(default_factory=dict)


class FleetResidency:
    """Combined residency of all upstreams, from the registry and the coordinator."""

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory
        self._reported: dict[str, CoordinatorResidency] = {}
        self._absent: dict[tuple[str, str, str], float] = {}
        self._last_contact_at = float("-inf")

    def set_coordinator_residency(
        self, residency: Mapping[str, CoordinatorResidency], complete: bool = True
    ) -> None:
        """Update the coordinator's report on some upstreams, or with ``complete`` replace it."""
        if complete:
            self._reported.clear()
        self._reported.update(residency)

    def record_coordinator_contact(self, now: float) -> None:
        """Record the time of the last message from the coordinator."""
        self._last_contact_at = now

    def has_coordinator(self, now: float) -> bool:
        """Return whether a coordinator orders loads, as far as this node knows."""
        return now - self._last_contact_at < COORDINATOR_VALID_S

    def record_absent(self, instance: str, model: str, adapter: str, now: float) -> None:
        """Record that an upstream has declined a request because something is not loaded."""
        self._absent[instance, model, adapter] = now + ABSENCE_VALID_S

    def is_resident(self, instance: str, model: str, adapter: str, now: float) -> bool:
        """Return whether a model, and the adapter unless it is empty, is loaded at an upstream."""
        entry = self._directory.get(instance)
        if entry is None or self._is_absent(instance, model, adapter, now):
            return False
        reported = self._reported_by_coordinator(instance)
        if reported is None:
            return model in entry.residents and (not adapter or adapter in entry.residents[model])
        if model not in (reported.live if self.has_coordinator(now) else entry.residents):
            return False
        return not adapter or adapter in reported.adapters.get(model, ())

    def expected_load_time(self, service: str, model: str) -> float | None:
        """Return the time at which the next copy of a model is loaded, None if none is loading."""
        times = [
            reported.loading[model]
            for entry in self._directory.of_service(service)
            if (reported := self._reported_by_coordinator(entry.instance)) is not None
            and model in reported.loading
        ]
        return min(times, default=None)

    def _reported_by_coordinator(self, instance: str) -> CoordinatorResidency | None:
        """Return the coordinator's report on the registered incarnation of an upstream."""
        reported = self._reported.get(instance)
        entry = self._directory.get(instance)
        if reported is None or entry is None or reported.started_ms != entry.started_ms:
            return None
        return reported

    def _is_absent(self, instance: str, model: str, adapter: str, now: float) -> bool:
        key = (instance, model, adapter)
        until = self._absent.get(key)
        if until is None:
            return False
        if now >= until:
            del self._absent[key]
            return False
        return True
