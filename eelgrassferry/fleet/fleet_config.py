"""The configuration in force: routes, services and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from .caller_limits import CallerLimits
from .route import Route
from .service import Service

__all__ = ["FleetConfig"]


@dataclass(frozen=True)
class FleetConfig:
    """One version of the configuration. Versions only grow, in uneven steps."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: len(r.path_prefix), reverse=True):
            found.setdefault(route.host.lower(), []).append(route)
        return found

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest that begins ``path``."""
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
