"""Node processes, started as the deploy file says, and the record of one run."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from eelgrassferry.platform.tests.soak.free_ports import free_ports

from .client import Answer, send
from .documents import make_settings
from .store import Store

__all__ = ["ROOT", "CannotRun", "Fleet", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
START_LIMIT_S = 20.0
# The platform restarts a process that has ended after a short delay.
RESTART_S = 0.5


class CannotRun(Exception):
    """The case could not be set up, so that nothing is known about the rule."""


class Fleet:
    """Nodes of one case, with the platform's store.

    ``trouble`` is whether the disruption is to be made. ``log`` writes a line to the record.
    """

    def __init__(self, folder: Path, record: Path, nodes: int, trouble: bool) -> None:
        self.trouble = trouble
        self.store = Store()
        self.count = nodes
        self.fronts: list[str] = []
        self.names: list[str] = []
        self.ends: list[tuple[float, int, int]] = []
        self.processes: list[subprocess.Popen[bytes] | None] = [None] * nodes
        self._folder = folder
        self._record = record.open("w")
        self._began = time.monotonic()
        self._keepers: list[asyncio.Task[None]] = []
        self._store_address = ""
        self._started = [False] * nodes
        self._ports: list[dict[str, int]] = []
        pid = os.getpid()
        # No other process takes the ports of a node that listens there while it is down.
        self._ip = f"127.{1 + pid // 62_500 % 250}.{pid // 250 % 250}.{1 + pid % 250}"
        self.store_of: Callable[[int], str] = lambda _number: self._store_address

    def log(self, text: str) -> None:
        """Write a line to the record, with the time since the start in seconds."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record.flush()

    async def start_store(self, config: dict) -> str:
        """Start the store with a configuration and return its address."""
        self._store_address = await self.store.start()
        await self.store.write("config", "main", config)
        return self._store_address

    async def start(self) -> None:
        """Start all nodes and wait until each says that it is ready."""
        ports = iter(free_ports(4 * self.count, self._ip))
        kinds = ("front", "ready", "control", "metrics")
        self._ports = [{kind: next(ports) for kind in kinds} for _ in range(self.count)]
        for number, own in enumerate(self._ports):
            self.fronts.append(f"{self._ip}:{own['front']}")
            self.names.append(f"n{number + 1}")
        self._keepers = [asyncio.ensure_future(self._keep(i)) for i in range(self.count)]
        async with asyncio.timeout(START_LIMIT_S):
            for number in range(self.count):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.05)
        self.log(f"{self.count} nodes are ready")

    async def is_ready(self, number: int) -> bool:
        """Return whether a node answers the balancer's check with 200."""
        address = f"{self._ip}:{self._ports[number]['ready']}"
        try:
            async with asyncio.timeout(1.0):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /eelgrassferry/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def send(self, number: int, path: str, **options: object) -> Answer:
        """Send a request to a node as a client and record what was answered."""
        answer = await send(self.names[number], self.fronts[number], path, **options)
        self.log(
            f"client {answer.request_id} {path} at {self.names[number]}: {answer.outcome}, "
            f"status {answer.status}, {round(answer.took_s * 1000)} ms, {len(answer.body)} bytes"
        )
        return answer

    async def stop(self) -> None:
        """End all processes that were started here."""
        for keeper in self._keepers:
            keeper.cancel()
        await asyncio.gather(*self._keepers, return_exceptions=True)
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        await self.store.stop()
        self._record.close()

    def node_log(self, number: int) -> str:
        """Return what a node has written so far."""
        return (self._folder / f"node{number}.log").read_text(errors="replace")

    async def _keep(self, number: int) -> None:
        """Keep a node running, as the platform does."""
        settings = self._folder / f"node{number}.conf"
        seeds = [f"{self._ip}:{own['control']}" for own in self._ports[:3]]
        while True:
            own, first = self._ports[number], not self._started[number]
            store = self.store_of(number)
            settings.write_text(make_settings(store, self._ip, own, number, seeds, first))
            self._started[number] = True
            with (self._folder / f"node{number}.log").open("ab") as log:
                process = subprocess.Popen(
                    _command(own["metrics"]),
                    cwd=ROOT,
                    env={
                        **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
                        "PYTHONPATH": str(ROOT / "target" / "deps"),
                        "PYTHONDONTWRITEBYTECODE": "1",
                        "EELGRASSFERRY_SETTINGS": str(settings),
                    },
                    stdout=log,
                    stderr=log,
                )
            self.processes[number] = process
            self.log(f"{self.names[number]} started, process {process.pid}")
            while (code := process.poll()) is None:
                await asyncio.sleep(0.02)
            self.ends.append((time.monotonic(), number, code))
            self.log(f"{self.names[number]} process {process.pid} ended with code {code}")
            await asyncio.sleep(RESTART_S)


def _command(metrics_port: int) -> list[str]:
    """Return the command of the deploy file, with a free port for the metrics."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["entry"]["run"].split()
    if "--metrics-port" in words:
        words[words.index("--metrics-port") + 1] = str(metrics_port)
    return [sys.executable if word == "python3" else word for word in words]


def run_case(
    folder: Path, nodes: int, case: Callable[[Fleet], Awaitable[bool]], limit_s: float = 110.0
) -> int:
    """Run a case and return the exit code: 1 if the rule was broken, 0 if it held, 2 if neither.

    ``case`` returns whether the rule was broken. ``TROUBLE=0`` in the environment leaves the
    disruption out.
    """

    async def run() -> int:
        this = asyncio.current_task()
        assert this is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        keep = os.environ.get("REVIEW_LOGS")
        with tempfile.TemporaryDirectory() as name:
            logs = Path(keep) if keep else Path(name)
            fleet = Fleet(logs, folder / "record.txt", nodes, trouble)
            try:
                async with asyncio.timeout(limit_s):
                    broken = await case(fleet)
                fleet.log("RULE BROKEN" if broken else "rule held")
                return int(broken)
            except (CannotRun, TimeoutError, asyncio.CancelledError) as exc:
                fleet.log(f"could not run: {exc!r}")
                return 2
            finally:
                await fleet.stop()

    try:
        return asyncio.run(run())
    except Exception as exc:
        print(f"could not run: {exc!r}", file=sys.stderr)
        return 2
