"""The processes of the overhead benchmark: platform, engines, relay and nodes."""

import asyncio
import json
import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from result import Err

from ..http import HttpClient

__all__ = ["OverheadSite", "SiteSize", "read_processor_s", "read_rss_mib"]

READY_TIMEOUT_S = 40.0
ENGINES_PER_PROCESS = 100
DOMAINS = ("d1", "d2")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class SiteSize:
    """The number of engines and the number of models, all configured and resident."""

    upstreams: int
    models: int

    @property
    def model_names(self) -> tuple[str, ...]:
        """The names of the models."""
        return tuple(f"m{n}" for n in range(self.models))

    def residents(self, upstream: int) -> tuple[str, ...]:
        """Return the names of the models that are resident on an engine.

        Each model is resident once, or, if there are more engines than models, each engine has one
        model.
        """
        resident = self.model_names[upstream :: self.upstreams]
        return resident or (f"m{upstream % self.models}",)


@dataclass(frozen=True)
class ChildProcess:
    """A child process and the JSON object that it printed when it was ready."""

    process: asyncio.subprocess.Process
    startup_info: dict

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid


def read_processor_s(pid: int) -> float:
    """Return the user and system time of a process in seconds, with clock tick resolution."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_mib(pid: int) -> float:
    """Return the resident set size of a process in MiB, or 0 if it isn't listed."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class OverheadSite:
    """A site of a platform, engines, a relay and two nodes, run as child processes.

    The first node holds the lease of the planning area. The second node is measured: it does all
    work except that of the lease holder, and its peer owns about half of its claims.
    """

    def __init__(self, size: SiteSize, directory: Path) -> None:
        self.size = size
        self._directory = directory
        self._children: list[ChildProcess] = []
        self._client = HttpClient()
        self.lease_holder: ChildProcess
        self.node: ChildProcess
        self.relay: ChildProcess

    @property
    def node_address(self) -> str:
        """The address of the measured node for callers."""
        return self.node.startup_info["address"]

    @property
    def relay_address(self) -> str:
        """The address of the relay."""
        return self.relay.startup_info["addresses"][0]

    async def start(self) -> None:
        """Start all processes and return once the nodes accept connections.

        Raises ``RuntimeError`` if a process ends early or a node can't be registered.
        """
        platform = await self._spawn(("eelgrassferry", "standin", "platform"))
        specs = [",".join(self.size.residents(n)) for n in range(self.size.upstreams)]
        engines: list[str] = []
        for start in range(0, len(specs), ENGINES_PER_PROCESS):
            chunk = specs[start : start + ENGINES_PER_PROCESS]
            module = "eelgrassferry.bench.overhead_parts"
            engines += (await self._spawn((module, "engines", *chunk))).startup_info["addresses"]
        self.relay = await self._spawn(("eelgrassferry.bench.overhead_parts", "relay", *engines))
        self._write_deployment(engines)
        address = platform.startup_info["address"]
        self.lease_holder = await self._start_node("node-1", DOMAINS[0], address, "")
        self.node = await self._start_node(
            "node-2", DOMAINS[1], address, self.lease_holder.startup_info["peer_address"]
        )

    async def close(self) -> None:
        """Kill all child processes; a graceful stop isn't needed, because it isn't measured."""
        self._client.close()
        for child in reversed(self._children):
            if child.process.returncode is None:
                child.process.kill()
        for child in self._children:
            await child.process.wait()

    async def _start_node(self, name: str, domain: str, platform: str, seed: str) -> ChildProcess:
        keys = {
            "name": name,
            "site": "bench",
            "domain": domain,
            "listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": platform,
            "operator_token": "bench-operator",
            "peer_keys": "bench-peer",
            "drain_grace": "1 s",
            "base_file": str(self._directory / "base.ini"),
            "overlay_file": str(self._directory / "overlay.ini"),
        }
        if seed:
            keys["seeds"] = seed
        path = self._write(f"{name}.ini", [("node", keys)])
        child = await self._spawn(
            ("eelgrassferry", "node", "--settings", str(path), "--log-level", "error")
        )
        host = {
            "address": child.startup_info["peer_address"],
            "kind": "node",
            "domain": domain,
            "state": "live",
        }
        body = json.dumps(host).encode()
        sent = await self._client.request(platform, "PUT", f"/hosts/{name}", body=body)
        if isinstance(sent, Err):
            raise RuntimeError(f"host {name} was not registered: {sent.err_value}")
        return child

    def _write_deployment(self, engines: Sequence[str]) -> None:
        models = [
            (f"model {name}", {"memory": "1 MiB", "first_token": "2 s"})
            for name in self.size.model_names
        ]
        self._write("base.ini", models)
        sections = [("site", {"name": "bench", "domains": ", ".join(DOMAINS)})]
        sections.append(("store", {"load_rate": "100/s", "slots": "16"}))
        for number, address in enumerate(engines):
            keys = {
                "kind": "engine",
                "address": address,
                "domain": DOMAINS[number % len(DOMAINS)],
                "accelerators": "8",
                "memory": "1000000 MiB",
                "prefill": "1000000 tokens/s",
                "decode": "100000 tokens/s",
                "max_batch": "256",
            }
            sections.append((f"upstream u{number}", keys))
        self._write("overlay.ini", sections)

    def _write(self, name: str, sections: list[tuple[str, dict[str, str]]]) -> Path:
        lines = []
        for section, keys in sections:
            lines += [f"[{section}]", *(f"{key} = {value}" for key, value in keys.items()), ""]
        path = self._directory / name
        path.write_text("\n".join(lines))
        return path

    async def _spawn(self, command: Sequence[str]) -> ChildProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *command, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        child = ChildProcess(process, {})
        self._children.append(child)
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{' '.join(command)[:80]} ended before it was ready")
        child.startup_info.update(json.loads(line))
        return child
