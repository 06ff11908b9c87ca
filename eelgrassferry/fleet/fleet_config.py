"""The configuration of the fleet: routes, services and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from .caller_limits import CallerLimits
from .route import Route
from .service import Service
from .tenant import Tenant

__all__ = ["FleetConfig"]


@dataclass(frozen=True)
class FleetConfig:
    """One version of the configuration. Versions increase, not necessarily by one.

    ``tenants`` are keyed by their names. Without any, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: len(r.path_prefix), reverse=True):
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        return routes_by_host

    @cached_property
    def _tenants_by_key(self) -> dict[str, Tenant]:
        return {key: tenant for tenant in self.tenants.values() for key in tenant.keys}

    def tenant_of_key(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key, or None if no tenant does."""
        return self._tenants_by_key.get(key)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None.

        Hosts are compared without case and port.
        """
        hostname = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        for route in self._routes_by_host.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
