"""One process of the system under test."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Any

__all__ = ["Process"]

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0


class Process:
    """A child process that runs ``python -m eelgrassferry <command>``.

    Signals are sent only to the id of this process. ``domain`` and ``options`` describe it in the
    settings of the deployment. ``was_killed`` is True after ``kill``; connections of its callers
    may then break. ``log_text`` contains its standard error after ``close``.
    """

    def __init__(self, name: str, kind: str, command: Sequence[str]) -> None:
        self.name = name
        self.kind = kind
        self.was_killed = False
        self.domain = "d1"
        self.options: dict[str, Any] = {}
        self.log_text = ""
        self.ready: dict[str, Any] = {}
        self.last_counts: dict[str, Any] = {}
        self.command = tuple(command)
        self._frozen = False
        # The steps and the thread that sends requests may both be the first to need the address.
        self._lock = threading.Lock()
        # Closed in ``close``. A pipe that nobody reads would fill up and block the process.
        self._stderr = tempfile.TemporaryFile(mode="w+")  # noqa: SIM115
        self._process = subprocess.Popen(
            [sys.executable, "-m", "eelgrassferry", *command],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=self._stderr,
            text=True,
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def address(self) -> str:
        """The address in the ready line, as ``ip:port``; blocks until the process is ready."""
        self.wait_ready()
        return self.ready["address"]

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended; True also while it is frozen."""
        return self._process.poll() is None

    @property
    def is_frozen(self) -> bool:
        """Whether the process has been stopped by ``freeze`` and not resumed."""
        return self._frozen

    def wait_ready(self) -> None:
        """Wait until the process has printed its ready line.

        Raises AssertionError if the process ends first or takes longer than ``READY_TIMEOUT_S``.
        """
        with self._lock:
            if not self.ready:
                self._read_ready()

    def _read_ready(self) -> None:
        lines: list[str] = []
        reader = threading.Thread(target=lambda: lines.append(self._process.stdout.readline()))
        reader.daemon = True
        reader.start()
        reader.join(READY_TIMEOUT_S)
        if not lines or not lines[0].strip():
            self.close()
            raise AssertionError(f"{self.name} did not get ready; its log:\n{self.log_text}")
        self.ready = json.loads(lines[0])

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP; it keeps its memory and its connections."""
        os.kill(self.pid, signal.SIGSTOP)
        self._frozen = True

    def resume(self) -> None:
        """Resume the process with SIGCONT if it is frozen."""
        if self._frozen and self.is_running:
            os.kill(self.pid, signal.SIGCONT)
        self._frozen = False

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.was_killed = True
        self._process.kill()
        self._process.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code.

        The counts that it prints at its end are stored in ``last_counts``.
        """
        self.resume()
        self._process.terminate()
        output, _ = self._process.communicate(timeout=STOP_TIMEOUT_S)
        for line in output.splitlines():
            if line.startswith('{"counts"'):
                self.last_counts = json.loads(line)["counts"]
        return self._process.returncode

    def close(self) -> None:
        """End the process, whatever its state, and close its files.

        Further calls do nothing.
        """
        if self._stderr.closed:
            return
        self.resume()
        if self.is_running:
            self._process.terminate()
            try:
                self._process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        self._stderr.seek(0)
        self.log_text = self._stderr.read()
        self._stderr.close()
        self._process.stdout.close()
