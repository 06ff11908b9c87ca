"""Configuration and settings of a small deployment, in the platform's format."""

from typing import Any

from .client import HOST

__all__ = ["BOUNDS", "make_config", "make_settings"]

BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "max_stretch_ms": "5000",
    "budget_ratio": "0.2",
    "budget_window_s": "10",
    "budget_slack": "54",
    "recover_s": "12",
    "pass_ms": "120",
    "retry_after_s": "0",
    "require_fence": "false",
    "lease_ms": "3000",
    "thaw_ms": "300",
    "ceiling_window_s": "5",
    "ceiling_over": "1.1",
}
ZONES = ("uy-sur-a", "uy-sur-b", "uy-sur-c")


def make_config(version: int = 1, models: int = 4) -> dict[str, Any]:
    """Return a configuration with a route of each kind, with the times of a small site."""

    def route(prefix: str, kind: str, service: str, timeout_ms: int, **more: Any) -> dict[str, Any]:
        fields = {"name": f"r{prefix}", "host": HOST, "path_prefix": prefix, "kind": kind}
        times = {"timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 1}
        return {**fields, **times, "max_attempts": 1, "service": service, **more}

    model = {"weights_mb": 72700.0, "load_s": 1.2, "warm_s": 0.32, "disk_s": 0.42}
    adapters = {"adapters": 4, "adapter_mb": 66.0}
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 284565,
        "weights_mb": 230000.0,
        "adapter_slots": 8,
        "loads_per_s": 1.4,
        "models": [{"name": f"m{i}", **model, **adapters} for i in range(models)],
    }
    return {
        "version": version,
        "routes": [
            route("/chat/", "stream", "chat", 4000, gap_aim_ms=300),
            route("/batch/", "stream", "chat", 6000, resumable=True, max_attempts=2),
            route("/book/", "non_idempotent", "desk", 1000),
            route("/look/", "idempotent", "desk", 1000, max_attempts=2),
        ],
        "services": [
            {"name": "chat", "health_path": "/health", "max_conns": 360, "engine": engine},
            {"name": "desk", "health_path": "/health", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }


def make_settings(
    store: str,
    ip: str,
    ports: dict[str, int],
    number: int,
    seeds: list[str],
    first_start: bool,
) -> str:
    """Return the text of the settings file of node ``number``, as in DEPLOY.md."""
    zone = ZONES[number % len(ZONES)]
    fields = {
        "node_name": f"front-{zone}-{number + 1}",
        "role": "entry",
        "machine_class": "front",
        "serves": "front,control",
        "ip": ip,
        "zone": zone,
        "region": "uy-sur",
        **{f"zones.{name}": "uy-sur" for name in ZONES},
        "listen.front": f"{ip}:{ports['front']}",
        "listen.ready": f"{ip}:{ports['ready']}",
        "listen.control": f"{ip}:{ports['control']}",
        "seeds": ",".join(seeds),
        "bootstrap": str(first_start).lower(),
        "loss_counts": "false",
        "limits.cpu_share": "0.537",
        "limits.cores": "2",
        "limits.memory_mb": "300",
        "limits.max_fds": "4100",
        "limits.link_mbps": "1000.0",
        "limits.disk_mb": "0",
        "discovery": "platform",
        "entry": "virtual_ip",
        "heartbeat_ms": "1200",
        "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
        "fault_tolerance.machines": "2",
        "fault_tolerance.zones": "1",
        "fault_tolerance.regions": "0",
        **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        "platform.address": store,
        "platform.form": "objects",
        "platform.writes_per_s": "400",
        "platform.reads_per_s": "2000",
        "platform.history_s": "20",
        "platform.value_bytes": "1048576",
        "platform.ttl_min_ms": "1000",
    }
    return "".join(f"{key}={value}\n" for key, value in fields.items())
