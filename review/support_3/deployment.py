"""Starts the project's own programs as processes on loopback, with stand-ins around them.

Nodes are started with the command of deploy/system.toml and settings like those of the small sites.
"""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from eelgrassferry.http import HttpClient, HttpResponse
from eelgrassferry.platform.tests.soak.free_ports import free_ports, own_loopback_ip

from .drill_store import DrillStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "calls.example"
START_S = 25.0


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self) -> None:
        self._file.close()


class Node:
    """One process of the role "entry", at an address of its own."""

    def __init__(self, number: int, folder: Path, record: Record, store: str, zone: str) -> None:
        self.name = f"front-{zone}-{number + 1}"
        self.zone = zone
        self.record = record
        self.ip = own_loopback_ip()
        self.front, self.ready, self.control, self.metrics = free_ports(4, self.ip)
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.conf"
        self._store = store

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self, bootstrap: bool, seeds: list[str]) -> None:
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front,control",
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "listen.front": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "listen.control": f"{self.ip}:{self.control}",
            "seeds": ",".join(seeds),
            "bootstrap": str(bootstrap).lower(),
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": "1200",
            "fault_tolerance.machines": "2",
            "fault_tolerance.zones": "1",
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
            "platform.address": self._store,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
        }
        self._settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["EELGRASSFERRY_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = (sys.executable, "-m", "eelgrassferry", "entry")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, "--metrics-port", str(self.metrics), cwd=ROOT, env=env, stdout=log
            )
        self.record.write(f"started {self.name} pid={self.process.pid} front={self.front}")

    def signal(self, signum: int) -> None:
        assert self.process is not None
        self.record.write(f"signal {signal.Signals(signum).name} to {self.name}")
        self.process.send_signal(signum)

    async def wait_ended(self) -> int:
        assert self.process is not None
        code = await self.process.wait()
        self.record.write(f"ended {self.name} code={code}")
        return code

    def log_count(self, event: str) -> int:
        return self.log_path.read_text().count(f'"{event}"') if self.log_path.exists() else 0


class Deployment:
    """A store, servers that a case adds, and node processes."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder)
        self.store = DrillStore()
        self.store_address = ""
        self.nodes: list[Node] = []
        self.client = HttpClient()
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._count = 0

    async def start_store(self, config: dict[str, Any]) -> None:
        self.store_address = await self.store.start()
        revision = await self.store.write("config", "main", config)
        self.record.write(f"operator wrote config {config['version']} revision={revision}")

    def add_node(self, zone: str) -> Node:
        node = Node(len(self.nodes), self.folder, self.record, self.store_address, zone)
        self.nodes.append(node)
        return node

    async def start_nodes(self, bootstrap: bool = True) -> None:
        seeds = [f"{node.ip}:{node.control}" for node in self.nodes][:3]
        for node in self.nodes:
            await node.start(bootstrap, seeds)

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node says that it is ready."""
        async with asyncio.timeout(START_S):
            while True:
                res = await self.client.request(
                    f"{node.ip}:{node.ready}",
                    "GET",
                    "/eelgrassferry/ready",
                    timeout_s=1.0,
                    new_connection=True,
                )
                if res.is_ok() and res.ok_value.status == 200:
                    return
                await asyncio.sleep(0.1)

    async def wait_log(self, node: Node, event: str, count: int = 1) -> None:
        async with asyncio.timeout(START_S):
            while node.log_count(event) < count:
                await asyncio.sleep(0.05)

    async def call(
        self,
        node: Node,
        path: str,
        model: str = "",
        deadline_ms: int = 4000,
        body: bytes = b"text",
        prompt: str = "",
        method: str = "POST",
    ) -> HttpResponse | None:
        """Send one client attempt on a new connection; None if it was closed without an answer."""
        self._count += 1
        request_id = f"r{self._count}"
        headers = [
            ("Host", HOST),
            ("Eelgrassferry-Request-Id", request_id),
            ("Eelgrassferry-Deadline-Ms", str(deadline_ms)),
        ]
        if model:
            headers += [("Eelgrassferry-Model", model), ("Eelgrassferry-Token-Counts", "10,5")]
        if prompt:
            headers.append(("Eelgrassferry-Prompt-Prefix", prompt))
        self.record.write(f"client sends {request_id} {path} model={model or '-'} to {node.name}")
        sent = await self.client.request(
            f"{node.ip}:{node.front}",
            method,
            path,
            headers=tuple(headers),
            body=body,
            timeout_s=deadline_ms / 1000.0 + 1.0,
            new_connection=True,
        )
        if sent.is_err():
            self.record.write(f"client gets no answer to {request_id}: {sent.err_value.detail}")
            return None
        self.record.write(f"client gets {sent.ok_value.status} to {request_id}")
        return sent.ok_value

    async def stop(self) -> None:
        for node in self.nodes:
            if node.is_running:
                node.process.kill()
                await node.process.wait()
        self.client.close()
        await self.store.stop()
        self.record.close()
        self._folder.cleanup()
