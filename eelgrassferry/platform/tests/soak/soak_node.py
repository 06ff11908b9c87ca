"""One node process under test, started again whenever it ends."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from pathlib import Path

from ....http import HttpClient
from ..spawn_node import spawn_node
from .records import Disturbance, SoakRecord

__all__ = ["SoakNode"]

# Pause before a process that has ended is started again, in seconds.
RESTART_S = 0.3
# A process that was told to stop is killed after this time, in seconds, as the settings say.
GRACE_S = 8.0
READY_EVERY_S = 0.05


class SoakNode:
    """``write_settings`` writes the settings file; it is told whether this is the first start.
    Signals go to this node's own process only.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        ready_address: str,
        write_settings: Callable[[Path, bool], None],
        record: SoakRecord,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        self._ready_address = ready_address
        self._write_settings = write_settings
        self._record = record
        self._clock = clock
        self._client = HttpClient()
        self._process: asyncio.subprocess.Process | None = None
        self._expected: set[int] = set()
        self._allowed_codes: dict[int, set[int]] = {}
        self._ended: dict[int, float] = {}
        self._resumed_at = float("-inf")

    async def run(self) -> None:
        """Keep the process running until cancelled, then kill it."""
        first = True
        down_since = self._clock()
        try:
            while True:
                self._write_settings(self._settings, first)
                first = False
                process = await self._start()
                watch = asyncio.ensure_future(process.wait())
                await self._await_ready(watch)
                self._disturbed(down_since, self._clock())
                code = await watch
                down_since = self._ended.pop(process.pid, self._clock())
                if process.pid not in self._expected:
                    self._record.exits.append(f"{self.name} ended by itself with code {code}")
                elif code not in self._allowed_codes.get(process.pid, set()):
                    self._record.exits.append(f"{self.name} ended with code {code} after a stop")
                await asyncio.sleep(RESTART_S)
        finally:
            self._client.close()
            await self._end()

    async def is_ready(self) -> bool:
        """Whether the node takes callers."""
        asked = await self._client.request(
            self._ready_address, "GET", "/eelgrassferry/ready", new_connection=True, timeout_s=1.0
        )
        return asked.is_ok() and asked.ok_value.status == 200

    def kill(self) -> None:
        """Kill the process; it is started again."""
        self._signal(signal.SIGKILL, ends=True)
        self._allow(-signal.SIGKILL)

    def stop(self) -> None:
        """Ask the process to stop; it is killed after its grace and started again."""
        process = self._process
        if process is not None and not _handles(process.pid, signal.SIGTERM):
            # The process is still starting, and the signal's default is to end it.
            self._allow(-signal.SIGTERM)
        self._allow(0, -signal.SIGKILL)
        self._signal(signal.SIGTERM, ends=True)
        if process is not None:
            asyncio.get_running_loop().call_later(GRACE_S, self._kill_late, process)

    def reload(self) -> None:
        """Rewrite the settings and say so, unless the interpreter has just started and could not
        have done anything about the signal.
        """
        self._write_settings(self._settings, False)
        if self._process is not None and _handles(self._process.pid, signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def pause(self, for_s: float) -> None:
        """Stop the process for a while, then let it go on."""
        process, began = self._process, self._clock()
        # A stop that runs into the pause is not late because of the node.
        self._resumed_at = float("inf")
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if process is self._process:
            self._signal(signal.SIGCONT)
        self._resumed_at = self._clock()
        self._disturbed(began, self._clock())

    async def _start(self) -> asyncio.subprocess.Process:
        with self.log_path.open("ab") as log:
            self._process = await spawn_node(self._settings, stdout=log, stderr=log)
        return self._process

    async def _await_ready(self, ended: asyncio.Future[int]) -> None:
        while not ended.done() and not await self.is_ready():
            await asyncio.sleep(READY_EVERY_S)

    def _signal(self, number: signal.Signals, ends: bool = False) -> None:
        process = self._process
        if process is None or process.returncode is not None:
            return
        if ends:
            self._expected.add(process.pid)
            self._ended.setdefault(process.pid, self._clock())
        # Process.send_signal polls the child first, which can take its exit code away from asyncio
        # (soak seed 17 saw code 255 for a killed process).
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
        self._disturbed(self._clock(), self._clock())

    def _allow(self, *codes: int) -> None:
        """Take that the present process may end with some exit codes."""
        if self._process is not None:
            self._allowed_codes.setdefault(self._process.pid, set()).update(codes)

    def _kill_late(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is not None:
            return
        if self._clock() - self._resumed_at > GRACE_S:
            self._record.exits.append(f"{self.name} did not stop within {GRACE_S} s")
        process.kill()

    def _disturbed(self, since: float, until: float) -> None:
        self._record.disturbances.append(Disturbance(since, until, self.name))

    async def _end(self) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()


def _handles(pid: int, number: signal.Signals) -> bool:
    """Whether a process of ours handles or ignores a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines() if line.startswith("Sig"))
    taken = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(taken & 1 << (number - 1))
