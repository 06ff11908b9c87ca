"""Decision which tenant a request belongs to, by the key that the caller has sent."""

from dataclasses import dataclass

from ..fleet import FleetConfig, Route, Tenant

__all__ = ["Identified", "KeyDecision", "UnknownKey", "Unsure", "check_key"]

# Retry-After, in seconds, for a key that a newer configuration may contain. A node that has lost
# the store or its coordinator has a current copy again about half a second after it finds either.
UNSURE_RETRY_S = 0.5


@dataclass(frozen=True)
class Identified:
    """The request may run. ``tenant`` is None if it belongs to no tenant."""

    tenant: Tenant | None


@dataclass(frozen=True)
class UnknownKey:
    """The request must not run, because no tenant holds its key."""


@dataclass(frozen=True)
class Unsure:
    """No tenant is known here to hold the key, but a newer configuration may name one.

    The caller may return after ``retry_after_s`` seconds.
    """

    retry_after_s: float


KeyDecision = Identified | UnknownKey | Unsure


def check_key(config: FleetConfig, route: Route, key: str, may_be_behind: bool) -> KeyDecision:
    """Return whether a request with a key may run on a route, and for which tenant.

    ``key`` is empty if the caller has sent no key that a tenant could hold. ``may_be_behind`` is
    whether this node's copy of the configuration may be out of date: callers do not retry a request
    whose key is rejected, so that an unknown key is then not final. A key that is known here is
    accepted either way, because nodes that are cut off go on serving.
    """
    if not config.tenants:
        return Identified(None)
    tenant = config.tenant_of_key(key) if key else None
    if tenant is not None or route.anonymous:
        return Identified(tenant)
    return Unsure(UNSURE_RETRY_S) if key and may_be_behind else UnknownKey()
