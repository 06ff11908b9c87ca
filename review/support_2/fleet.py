"""Node processes on loopback addresses, started with the command of the deploy file."""

import asyncio
import os
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

__all__ = ["HOST", "Fleet", "Node", "Record", "free_port", "make_config"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "calls.example"
MEMORY_MB = 300
# The settings of a machine of the small site cronoplata, but for names and addresses.
COMMON = {
    "role": "entry",
    "machine_class": "front",
    "serves": "front,control",
    "region": "uy-sur",
    "bootstrap": "true",
    "loss_counts": "false",
    "limits.cpu_share": "0.537",
    "limits.cores": "2",
    "limits.memory_mb": str(MEMORY_MB),
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
    "bounds.seed_lag_s": "3",
    "bounds.reuse_after_s": "2",
    "bounds.contact_ms": "3000",
    "bounds.ack_ms": "4000",
    "bounds.catch_up_s": "4",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.rollback_slack_ms": "250",
    "bounds.max_stretch_ms": "5000",
    "bounds.budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "54",
    "bounds.recover_s": "12",
    "bounds.pass_ms": "120",
    "bounds.retry_after_s": "0",
    "bounds.require_fence": "false",
    "bounds.lease_ms": "3000",
    "bounds.thaw_ms": "300",
    "bounds.ceiling_window_s": "5",
    "bounds.ceiling_over": "1.1",
    "platform.form": "objects",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.history_s": "20",
    "platform.value_bytes": "1048576",
    "platform.ttl_min_ms": "1000",
}


class Record:
    """The lines of ``record.txt``, with the seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port(ip: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def make_config(version: int = 1, timeout_ms: int = 4000) -> dict[str, Any]:
    """Return a configuration with a route of each kind, shaped like that of a small site."""

    def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        fields = {"name": f"r{prefix}", "host": HOST, "path_prefix": prefix, "kind": kind}
        times = {"target_latency_ms": 600, "priority": 1, "max_attempts": 1}
        return {**fields, **times, "timeout_ms": timeout_ms, "service": service, **more}

    model = {"weights_mb": 72700.0, "load_s": 1.2, "adapters": 4, "adapter_mb": 12.0}
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 284565,
        "weights_mb": 230000.0,
        "adapter_slots": 8,
        "loads_per_s": 1.4,
        "models": [{"name": f"m{i}", **model} for i in range(3)],
    }
    return {
        "version": version,
        "routes": [
            route("/chat/", "stream", "chat", gap_aim_ms=300),
            route("/book/", "non_idempotent", "desk", timeout_ms=1000, target_latency_ms=150),
            route("/look/", "idempotent", "desk", max_attempts=2, timeout_ms=1000),
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


class Node:
    """One node process."""

    def __init__(self, name: str, zone: str, ip: str, settings: Path, log: Path) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        self.metrics = free_port(ip)
        self.settings = settings
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["EELGRASSFERRY_SETTINGS"] = str(self.settings)
        words = ("-m", "eelgrassferry", "entry", "--metrics-port", str(self.metrics))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def memory_mb(self, field: str = "VmHWM") -> float:
        """Return the resident memory in MB: ``VmRSS`` now, ``VmHWM`` at its peak."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{field}:")[2].split()[0]) / 1024

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of the log with an event."""
        return [line for line in self.log.read_text().splitlines() if f'"event":"{event}"' in line]

    async def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


class Fleet:
    """The node processes of one script and their folder."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.path = Path(self._folder.name)
        self.nodes: list[Node] = []

    async def start(self, stores: list[str], names: list[str] | None = None) -> None:
        """Start a node for each address of the store, in a zone each, and wait until all are
        ready.
        """
        count = len(stores)
        names = names or [f"front-{number + 1}" for number in range(count)]
        pid = os.getpid()
        ips = [f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{10 + i}" for i in range(count)]
        for name, zone, ip in zip(names, "abcd", ips, strict=False):
            paths = (self.path / f"{name}.conf", self.path / f"{name}.log")
            self.nodes.append(Node(name, f"zone-{zone}", ip, *paths))
        seeds = ",".join(f"{node.ip}:{node.control}" for node in self.nodes[:3])
        for node, store in zip(self.nodes, stores, strict=True):
            values = {
                "node_name": node.name,
                "zone": node.zone,
                "ip": node.ip,
                "listen.front": f"{node.ip}:{node.front}",
                "listen.ready": f"{node.ip}:{node.ready}",
                "listen.control": f"{node.ip}:{node.control}",
                "seeds": seeds,
                "platform.address": store,
                **COMMON,
            }
            node.settings.write_text("".join(f"{k}={v}\n" for k, v in values.items()))
            await node.start()
        async with asyncio.timeout(20):
            for node in self.nodes:
                while not await is_ready(node):
                    if not node.is_running:
                        raise RuntimeError(f"{node.name} has ended: {node.log.read_text()[-500:]}")
                    await asyncio.sleep(0.1)

    def coordinator(self) -> Node | None:
        """Return the node that coordinates, according to the logs."""
        begun = {line: node for node in self.nodes for line in node.log_lines("coordination begun")}
        # Each line begins with its time.
        return begun[max(begun)] if begun else None

    async def stop(self) -> None:
        """Kill all nodes and remove the folder."""
        for node in self.nodes:
            await node.stop()
        self._folder.cleanup()


async def is_ready(node: Node, timeout_s: float = 1.0) -> bool:
    """Return whether a node answers the balancer's question with 200 in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(node.ip, node.ready)
            try:
                writer.write(b"GET /eelgrassferry/ready HTTP/1.1\r\nHost: n\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
