"""Test settings and configurations in the platform's format."""

import math
from typing import Any

__all__ = ["FOREIGN_ENTRIES", "make_config", "make_settings"]

HOST = "calls.example"
ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "models": [],
    "born": 1000,
}
DEEP: list = []
for _ in range(400):
    DEEP = [DEEP]
# Registry entries of other writers, by name, none of which names a server to use.
FOREIGN_ENTRIES: dict[str, Any] = {
    "i-infinite-slots": {**ENTRY, "slots": math.inf},
    "i-no-slots": {**ENTRY, "slots": 0},
    "i-part-of-a-slot": {**ENTRY, "slots": 0.5},
    "i-huge-time": {**ENTRY, "state": "draining", "remaining_ms": 10**400},
    "i-late-start": {**ENTRY, "service": "chat", "born": 10**30},
    "i-nan": {**ENTRY, "remaining_ms": math.nan},
    "i-nested": {**ENTRY, "models": DEEP},
    "i-surrogate": {**ENTRY, "service": "chat", "models": [{"name": "\ud800"}]},
    "i-\u00f1\u2192": ENTRY,
    "i-\ud800": ENTRY,
    "i with spaces\r\n": ENTRY,
    "i-text": "draining",
    "i-list": [1, 2],
    "i-null": None,
}


def make_settings(
    store: str,
    front: int,
    ready: int,
    control: int,
    name: str = "front-1",
    first_start: bool = True,
    ip: str = "127.0.0.1",
) -> str:
    """Return the text of a settings file for a node on loopback.

    ``store`` is the address of the object store; ``front``, ``ready`` and ``control`` are ports.
    """
    lines = {
        "node_name": name,
        "zone": "zone-a",
        "listen.front": f"{ip}:{front}",
        "listen.ready": f"{ip}:{ready}",
        "listen.control": f"{ip}:{control}",
        "platform.address": store,
        "bootstrap": str(first_start).lower(),
        "bounds.drain_ms": "2000",
        "bounds.grace_s": "8",
        "bounds.lease_ms": "3000",
        "bounds.budget_ratio": "0.2",
        "bounds.require_fence": "false",
        "something.new": "1",
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())


def make_config(version: int = 1) -> dict[str, Any]:
    """Return a configuration with one route of each kind.

    ``/chat/`` is a stream, ``/batch/`` a resumable stream, ``/book/`` a non-idempotent call and
    ``/look/`` an idempotent call.
    """

    def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        fields = {"name": f"r{prefix}", "host": HOST, "path_prefix": prefix, "kind": kind}
        times = {"timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "max_attempts": 1}
        return {**fields, **times, "service": service, **more}

    model = {"weights_mb": 100.0, "load_s": 0.1, "adapters": 4, "adapter_mb": 1.0}
    engine = {
        "slots": 8,
        "kv_capacity_tokens": 20000,
        "weights_mb": 210.0,
        "adapter_slots": 4,
        "loads_per_s": 5.0,
        "models": [{"name": f"m{i}", **model} for i in range(4)],
    }
    return {
        "version": version,
        "routes": [
            route("/chat/", "stream", "chat", gap_aim_ms=300),
            route("/batch/", "stream", "chat", resumable=True, max_attempts=2, gap_aim_ms=300),
            route("/book/", "non_idempotent", "desk"),
            route("/look/", "idempotent", "desk", max_attempts=2),
        ],
        "services": [
            {"name": "chat", "health_path": "/health", "max_conns": 50, "engine": engine},
            {"name": "desk", "health_path": "/health", "max_conns": 50},
        ],
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    }
