"""Decoder of the configuration object that operators write."""

from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED, parse_json, to_flag, to_number, to_text
from ..fleet import (
    Backend,
    CallerLimits,
    EngineSpec,
    FleetConfig,
    ModelSpec,
    QuotaUnit,
    RequestKind,
    Route,
    Service,
    Tenant,
)
from .codec_error import CodecError

__all__ = ["decode_config"]

# Timeout and target latency of a route that does not set them, in seconds.
DEFAULT_TIMEOUT_S = 30.0
DEFAULT_TARGET_S = 1.0


def decode_config(value: bytes) -> Result[FleetConfig, CodecError]:
    """Decode the value of the object ``CONFIG_KEY``. Ignore unknown fields.

    The error never contains a tenant's key.
    """
    try:
        spec = parse_json(value)
        return Ok(
            FleetConfig(
                version=_whole(spec["version"]),
                routes=tuple(_decode_route(route) for route in spec["routes"]),
                services={entry["name"]: _decode_service(entry) for entry in spec["services"]},
                limits=_decode_limits(spec.get("limits") or {}),
                tenants=_decode_tenants(spec.get("tenants") or []),
            )
        )
    except MALFORMED as exc:
        # The representation of a UnicodeError contains the whole text, which may be a key.
        return Err(CodecError("decode_config", "", f"{type(exc).__name__}: {exc}"))


def _decode_route(spec: dict[str, Any]) -> Route:
    # A route names either one service, or "backends": several services with weights.
    weighted = spec.get("backends")
    if weighted:
        backends = tuple(
            Backend(to_text(part["service"]), to_number(part["weight"])) for part in weighted
        )
        if not any(backend.weight for backend in backends):
            raise ValueError("all weights of a route are 0")
    else:
        backends = (Backend(to_text(spec["service"]), 1.0),)
    return Route(
        name=to_text(spec["name"]),
        host=to_text(spec["host"]),
        path_prefix=to_text(spec["path_prefix"]),
        kind=RequestKind(spec["kind"]),
        backends=backends,
        timeout_s=_seconds(spec.get("timeout_ms"), DEFAULT_TIMEOUT_S),
        target_latency_s=_seconds(spec.get("target_latency_ms"), DEFAULT_TARGET_S),
        priority=_whole(spec.get("priority", 5)),
        max_attempts=max(1, _whole(spec.get("max_attempts", 1))),
        resumable=bool(spec.get("resumable", False)),
        gap_target_s=_seconds(spec.get("gap_aim_ms"), 0.0),
        anonymous=to_flag(spec.get("anonymous", False)),
    )


def _decode_service(spec: dict[str, Any]) -> Service:
    engine = spec.get("engine")
    return Service(
        name=to_text(spec["name"]),
        engine=_decode_engine(engine) if engine and engine.get("models") else None,
    )


def _decode_engine(spec: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        batch_slots=_whole(spec["slots"]),
        cache_tokens=_whole(spec["kv_capacity_tokens"]),
        weights_mb=to_number(spec["weights_mb"]),
        adapter_slots=_whole(spec.get("adapter_slots", 0)),
        cold_loads_per_s=to_number(spec.get("loads_per_s", 1.0)),
        models={model["name"]: _decode_model(model) for model in spec["models"]},
    )


def _decode_model(spec: dict[str, Any]) -> ModelSpec:
    load_s = to_number(spec["load_s"])
    return ModelSpec(
        name=to_text(spec["name"]),
        weights_mb=to_number(spec["weights_mb"]),
        load_s=load_s,
        # "warm_s" is the time to load the model from the upstream's main memory.
        memory_load_s=to_number(spec.get("warm_s", load_s)),
        disk_load_s=to_number(spec.get("disk_s", load_s)),
        adapters=_whole(spec.get("adapters", 0)),
        adapter_mb=to_number(spec.get("adapter_mb", 0.0)),
    )


def _decode_limits(spec: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=_whole(spec.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=_whole(spec.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=_seconds(spec.get("header_timeout_ms"), default.header_timeout_s),
        idle_timeout_s=_seconds(spec.get("idle_timeout_ms"), default.idle_timeout_s),
    )


def _decode_tenants(specs: list[dict[str, Any]]) -> dict[str, Tenant]:
    """Return the tenants by name; raise ``ValueError`` for an ambiguous name or key."""
    tenants: dict[str, Tenant] = {}
    holders: dict[str, str] = {}
    for spec in specs:
        tenant = _decode_tenant(spec)
        if tenant.name in tenants:
            raise ValueError(f"two tenants have the name {tenant.name!r}")
        tenants[tenant.name] = tenant
        for key in tenant.keys:
            if not key:
                raise ValueError(f"tenant {tenant.name!r} has an empty key")
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                raise ValueError(f"tenants {holder!r} and {tenant.name!r} have the same key")
        if len(set(tenant.keys)) < len(tenant.keys):
            raise ValueError(f"tenant {tenant.name!r} has the same key twice")
    return tenants


def _decode_tenant(spec: dict[str, Any]) -> Tenant:
    name = to_text(spec["name"])
    # The name is sent to upstreams in a header.
    if not name.isprintable() or not name or name != name.strip():
        raise ValueError(f"{name!r} cannot be the name of a tenant")
    priority = spec.get("priority")
    keys = spec["api_keys"]
    if type(keys) is not list:
        raise TypeError(f"the keys of tenant {name!r} are not a list")
    return Tenant(
        name=name,
        keys=tuple(to_text(key) for key in keys),
        priority=None if priority is None else _whole(priority),
        rate_per_s=to_number(spec.get("rate_per_s") or 0.0),
        burst=to_number(spec.get("burst") or 0.0),
        unit=QuotaUnit(spec.get("unit") or QuotaUnit.REQUESTS.value),
        plain_tokens=_whole(spec.get("plain_tokens") or 0),
    )


def _seconds(milliseconds: Any, default: float) -> float:
    return default if milliseconds is None else to_number(milliseconds) / 1000.0


def _whole(value: Any) -> int:
    return int(to_number(value))
