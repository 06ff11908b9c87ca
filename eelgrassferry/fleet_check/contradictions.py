"""Limits of a configuration that contradict each other."""

from collections.abc import Iterator

from ..fleet import FleetConfig, QuotaUnit, RequestKind, Route, Service, Tenant
from .finding import Entry, EntryKind, Finding, Severity

__all__ = ["find_contradictions"]


def find_contradictions(config: FleetConfig) -> Iterator[Finding]:
    """Yield the limits that contradict other values, or that have no effect."""
    for route in config.routes:
        yield from _find_in_route(route)
    for service in config.services.values():
        yield from _find_in_service(service)
    for tenant in config.tenants.values():
        yield from _find_in_tenant(tenant)
    entry = Entry(EntryKind.LIMITS)
    for name in ("max_header_bytes", "header_timeout_s", "idle_timeout_s"):
        if not getattr(config.limits, name):
            message = "a limit of 0 lets no request in"
            yield Finding(Severity.ERROR, "zero_limit", entry, name, message)


def _find_in_route(route: Route) -> Iterator[Finding]:
    entry = Entry(EntryKind.ROUTE, route.name)
    if route.timeout_s < route.target_latency_s:
        message = (
            f"the timeout of {route.timeout_s:g} s is below the latency target of "
            f"{route.target_latency_s:g} s"
        )
        yield Finding(Severity.ERROR, "timeout_below_target", entry, "timeout_s", message)
    is_stream = route.kind is RequestKind.STREAM
    if is_stream and route.gap_target_s >= route.timeout_s:
        message = f"a gap of {route.gap_target_s:g} s is never reached before the timeout"
        yield Finding(Severity.WARNING, "unreached_gap", entry, "gap_target_s", message)
    if not is_stream and route.resumable:
        message = "only streams can be resumed"
        yield Finding(Severity.WARNING, "not_a_stream", entry, "resumable", message)
    if route.max_attempts > 1 and not route.repeatable:
        message = f"requests of kind {route.kind.value!r} run once at most"
        yield Finding(Severity.WARNING, "unused_attempts", entry, "max_attempts", message)


def _find_in_service(service: Service) -> Iterator[Finding]:
    engine = service.engine
    if engine is None:
        return
    entry = Entry(EntryKind.SERVICE, service.name)
    for name in ("batch_slots", "cache_tokens", "cold_loads_per_s"):
        if not getattr(engine, name):
            message = "a value of 0 lets no request run"
            yield Finding(Severity.ERROR, "zero_capacity", entry, name, message)


def _find_in_tenant(tenant: Tenant) -> Iterator[Finding]:
    entry = Entry(EntryKind.TENANT, tenant.name)
    if not tenant.rate_per_s:
        if tenant.burst:
            message = "the burst has no effect without a rate"
            yield Finding(Severity.WARNING, "unused_burst", entry, "burst", message)
        return
    if tenant.unit is QuotaUnit.TOKENS and not tenant.plain_tokens:
        message = "requests without token counts do not count against the quota"
        yield Finding(Severity.WARNING, "uncounted_requests", entry, "plain_tokens", message)
    least = tenant.cost(None)
    if tenant.burst and tenant.burst < least:
        message = f"the burst is below {least:g}, which one request counts"
        yield Finding(Severity.WARNING, "burst_below_request", entry, "burst", message)
