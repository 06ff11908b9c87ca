"""Entries of a configuration that no request can reach."""

from collections.abc import Iterator

from ..fleet import FleetConfig, Route, Service
from .finding import Entry, EntryKind, Finding, Severity

__all__ = ["find_unreachable"]


def find_unreachable(config: FleetConfig) -> Iterator[Finding]:
    """Yield the routes, services, models and tenants that can never serve a request."""
    yield from _find_routes(config)
    called = {backend.service for route in config.routes for backend in route.backends}
    for service in config.services.values():
        if service.name not in called:
            yield Finding(
                Severity.WARNING,
                "uncalled_service",
                Entry(EntryKind.SERVICE, service.name),
                "",
                "no route leads to this service",
            )
        yield from _find_models(service)
    for tenant in config.tenants.values():
        if not tenant.keys:
            yield Finding(
                Severity.ERROR,
                "keyless_tenant",
                Entry(EntryKind.TENANT, tenant.name),
                "keys",
                "the tenant has no key, so none of its requests can be accepted",
            )


def _find_routes(config: FleetConfig) -> Iterator[Finding]:
    first_with: dict[tuple[str, str], str] = {}
    for route in config.routes:
        entry = Entry(EntryKind.ROUTE, route.name)
        first = first_with.setdefault((route.host.lower(), route.path_prefix), route.name)
        if first != route.name:
            message = f"route {first!r} has the same host and prefix and is always chosen"
            yield Finding(Severity.ERROR, "shadowed_route", entry, "path_prefix", message)
        # A request's host is compared without its port.
        if ":" in route.host:
            message = f"host {route.host!r} has a port, so that no request matches"
            yield Finding(Severity.ERROR, "unmatched_host", entry, "host", message)
        if not route.path_prefix.startswith("/"):
            message = f"prefix {route.path_prefix!r} does not begin with a slash"
            yield Finding(Severity.ERROR, "unmatched_prefix", entry, "path_prefix", message)
        yield from _find_backends(route, entry, config)


def _find_backends(route: Route, entry: Entry, config: FleetConfig) -> Iterator[Finding]:
    for backend in route.backends:
        if backend.service not in config.services:
            message = f"service {backend.service!r} does not exist"
            yield Finding(Severity.ERROR, "unknown_service", entry, "backends", message)
        if not backend.weight:
            message = f"service {backend.service!r} has weight 0 and gets no requests"
            yield Finding(Severity.WARNING, "weightless_backend", entry, "backends", message)


def _find_models(service: Service) -> Iterator[Finding]:
    engine = service.engine
    if engine is None:
        return
    for model in engine.models.values():
        entry = Entry(EntryKind.MODEL, model.name, service.name)
        if model.weights_mb > engine.weights_mb:
            message = (
                f"{model.weights_mb:g} MB do not fit an upstream with {engine.weights_mb:g} MB"
            )
            yield Finding(Severity.ERROR, "oversized_model", entry, "weights_mb", message)
        elif model.adapters and model.weights_mb + model.adapter_mb > engine.weights_mb:
            message = f"an adapter does not fit beside the model in {engine.weights_mb:g} MB"
            yield Finding(Severity.ERROR, "oversized_adapter", entry, "adapter_mb", message)
        if model.adapters and not engine.adapter_slots:
            message = "the service's upstreams have no adapter slots"
            yield Finding(Severity.ERROR, "unloadable_adapters", entry, "adapters", message)
