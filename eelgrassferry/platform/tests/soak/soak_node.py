"""Node process under test that is restarted whenever it ends."""

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

# Pause before an ended process is restarted, in seconds.
RESTART_S = 0.3
# Time after which a process that was asked to stop is killed, in seconds ("bounds.grace_s").
GRACE_S = 8.0
# Interval of readiness checks while a process starts, in seconds.
READY_EVERY_S = 0.05


class SoakNode:
    """Runner of one node process, which is restarted whenever it ends.

    ``write_settings`` writes the settings file; its arguments are the path and whether this is the
    first start. Signals are sent to this node's process only.
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
        self._expected_exits: set[int] = set()
        self._allowed_codes: dict[int, set[int]] = {}
        self._ended: dict[int, float] = {}
        self._resumed_at = float("-inf")

    async def run(self) -> None:
        """Keep the process running until cancelled, then kill it.

        Ends that were not requested, or with an exit code that was not allowed, are recorded.
        """
        first = True
        down_since = self._clock()
        try:
            while True:
                self._write_settings(self._settings, first)
                first = False
                process = await self._start()
                process_end = asyncio.ensure_future(process.wait())
                await self._await_ready(process_end)
                self._record_disturbance(down_since, self._clock())
                code = await process_end
                down_since = self._ended.pop(process.pid, self._clock())
                if process.pid not in self._expected_exits:
                    self._record.exits.append(f"{self.name} ended by itself with code {code}")
                elif code not in self._allowed_codes.get(process.pid, set()):
                    self._record.exits.append(f"{self.name} ended with code {code} after a stop")
                await asyncio.sleep(RESTART_S)
        finally:
            self._client.close()
            await self._end()

    async def is_ready(self) -> bool:
        """Return whether the node accepts callers."""
        result = await self._client.request(
            self._ready_address, "GET", "/eelgrassferry/ready", new_connection=True, timeout_s=1.0
        )
        return result.is_ok() and result.ok_value.status == 200

    def kill(self) -> None:
        """Kill the process; ``run`` restarts it."""
        self._signal(signal.SIGKILL, ends=True)
        self._allow_exit_codes(-signal.SIGKILL)

    def stop(self) -> None:
        """Send SIGTERM and kill the process after ``GRACE_S``; ``run`` restarts it."""
        process = self._process
        if process is not None and not _handles_signal(process.pid, signal.SIGTERM):
            # The process is still starting and has no handler: the signal ends it by default.
            self._allow_exit_codes(-signal.SIGTERM)
        self._allow_exit_codes(0, -signal.SIGKILL)
        self._signal(signal.SIGTERM, ends=True)
        if process is not None:
            asyncio.get_running_loop().call_later(GRACE_S, self._kill_after_grace, process)

    def reload(self) -> None:
        """Rewrite the settings and send SIGHUP.

        A process that has not installed its handler yet does not get the signal, which would end
        it.
        """
        self._write_settings(self._settings, False)
        if self._process is not None and _handles_signal(self._process.pid, signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def pause(self, for_s: float) -> None:
        """Suspend the process with SIGSTOP for ``for_s`` seconds, then resume it."""
        process, began = self._process, self._clock()
        # A stop that is delayed by this pause is not the node's fault, so it is not recorded.
        self._resumed_at = float("inf")
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if process is self._process:
            self._signal(signal.SIGCONT)
        self._resumed_at = self._clock()
        self._record_disturbance(began, self._clock())

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
            self._expected_exits.add(process.pid)
            self._ended.setdefault(process.pid, self._clock())
        # Process.send_signal polls the child first, which can reap it before asyncio reads its exit
        # code (soak seed 17 reported code 255 for a killed process).
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
        self._record_disturbance(self._clock(), self._clock())

    def _allow_exit_codes(self, *codes: int) -> None:
        """Accept these exit codes of the current process."""
        if self._process is not None:
            self._allowed_codes.setdefault(self._process.pid, set()).update(codes)

    def _kill_after_grace(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is not None:
            return
        if self._clock() - self._resumed_at > GRACE_S:
            self._record.exits.append(f"{self.name} did not stop within {GRACE_S} s")
        process.kill()

    def _record_disturbance(self, since: float, until: float) -> None:
        self._record.disturbances.append(Disturbance(since, until, self.name))

    async def _end(self) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()


def _handles_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a child process handles or ignores a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in status.splitlines() if line.startswith("Sig"))
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(handled & 1 << (number - 1))
