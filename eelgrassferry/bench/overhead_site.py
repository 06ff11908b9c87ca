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
        held = self.model_names[upstream :: self.upstreams]
        return held or (f"m{upstream % self.models}",)


@dataclass(frozen=True)
class Part:
    """A child process and the JSON object that it printed when it was ready."""

    process: asyncio.subprocess.Process
    ready: dict

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
        self._parts: list[Part] = []
        self._client = HttpClient()
        self.holder: Part
        self.node: Part
        self.relay: Part

    @property
    def node_address(self) -> str:
        """The address of the measured node for callers."""
        return self.node.ready["address"]

    @property
    def relay_address(self) -> str:
        """The address of the relay."""
        return self.relay.ready["addresses"][0]

    async def start(self) -> None:
        """Start all processes and return once the nodes accept connections.

        Raises ``RuntimeError`` if a process ends early or a node can't be registered.
        """
        platform = await self._spawn(("eelgrassferry", "standin", "platform"))
        specs = [",".join(self.size.residents(n)) for n in range(self.size.upstreams)]
        engines: list[str] = []
        for start in range(0, len(specs), ENGINES_PER_PROCESS):
            part = specs[start : start + ENGINES_PER_PROCESS]
            module = "eelgrassferry.bench.overhead_parts"
            engines += (await self._spawn((module, "engines", *part))).ready["addresses"]
        self.relay = await self._spawn(("eelgrassferry.bench.overhead_parts", "relay", *engines))
        self._write_deployment(engines)
        address = platform.ready["address"]
        self.holder = await self._start_node("node-1", DOMAINS[0], address, "")
        self.node = await self._start_node(
            "node-2", DOMAINS[1], address, self.holder.ready["peer_address"]
        )

    async def close(self) -> None:
        """Kill all child processes; a graceful stop isn't needed, because it isn't measured."""
        self._client.close()
        for part in reversed(self._parts):
            if part.process.returncode is None:
                part.process.kill()
        for part in self._parts:
            await part.process.wait()

    async def _start_node(self, name: str, domain: str, platform: str, seed: str) -> Part:
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
        part = await self._spawn(
            ("eelgrassferry", "node", "--settings", str(path), "--log-level", "error")
        )
        host = {
            "address": part.ready["peer_address"],
            "kind": "node",
            "domain": domain,
            "state": "live",
        }
        body = json.dumps(host).encode()
        sent = await self._client.request(platform, "PUT", f"/hosts/{name}", body=body)
        if isinstance(sent, Err):
            raise RuntimeError(f"host {name} was not registered: {sent.err_value}")
        return part

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

    async def _spawn(self, command: Sequence[str]) -> Part:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *command, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        part = Part(process, {})
        self._parts.append(part)
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{' '.join(command)[:80]} ended before it was ready")
        part.ready.update(json.loads(line))
        return part
