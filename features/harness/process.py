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
READY_S = 20.0
STOP_S = 20.0


class Process:
    """``python -m eelgrassferry <command>``, from its ready line to its end.

    Signals go to the process id of this process only. ``domain`` and ``options`` describe it in the
    deployment's settings. ``broke`` is True once it was killed, so that its callers may see broken
    connections. ``log_text`` has its standard error after ``end``.
    """

    def __init__(self, name: str, kind: str, command: Sequence[str]) -> None:
        self.name = name
        self.kind = kind
        self.broke = False
        self.domain = "d1"
        self.options: dict[str, Any] = {}
        self.log_text = ""
        self.ready: dict[str, Any] = {}
        self.last_counts: dict[str, Any] = {}
        self.command = tuple(command)
        self._frozen = False
        # Requests run in another thread than the steps, and both may be first to need the address.
        self._lock = threading.Lock()
        # Closed in ``end``; a file cannot fill up as a pipe does.
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
        """The address of the ready line as ``ip:port``; waits for it the first time."""
        self.wait_ready()
        return self.ready["address"]

    @property
    def runs(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def is_frozen(self) -> bool:
        """Whether the process was stopped by ``freeze`` and not resumed."""
        return self._frozen

    def wait_ready(self) -> None:
        """Read the ready line once; a process that ends or stays silent is an error."""
        with self._lock:
            if not self.ready:
                self._read_ready()

    def _read_ready(self) -> None:
        lines: list[str] = []
        reader = threading.Thread(target=lambda: lines.append(self._process.stdout.readline()))
        reader.daemon = True
        reader.start()
        reader.join(READY_S)
        if not lines or not lines[0].strip():
            self.end()
            raise AssertionError(f"{self.name} did not get ready; its log:\n{self.log_text}")
        self.ready = json.loads(lines[0])

    def freeze(self) -> None:
        """Stop the process with SIGSTOP; it keeps its memory and connections."""
        os.kill(self.pid, signal.SIGSTOP)
        self._frozen = True

    def resume(self) -> None:
        """Let a frozen process go on."""
        if self._frozen and self.runs:
            os.kill(self.pid, signal.SIGCONT)
        self._frozen = False

    def kill(self) -> None:
        """End the process at once."""
        self.broke = True
        self._process.kill()
        self._process.wait()

    def stop(self) -> int:
        """Ask the process to stop, keep the counts it ends with, and return its exit code."""
        self.resume()
        self._process.terminate()
        output, _ = self._process.communicate(timeout=STOP_S)
        for line in output.splitlines():
            if line.startswith('{"counts"'):
                self.last_counts = json.loads(line)["counts"]
        return self._process.returncode

    def end(self) -> None:
        """End the process in any state and release its files; again, it does nothing."""
        if self._stderr.closed:
            return
        self.resume()
        if self.runs:
            self._process.terminate()
            try:
                self._process.wait(STOP_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        self._stderr.seek(0)
        self.log_text = self._stderr.read()
        self._stderr.close()
        self._process.stdout.close()
