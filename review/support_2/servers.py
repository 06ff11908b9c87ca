"""Start of engines in processes of their own, and their registration."""

import asyncio
import sys
from pathlib import Path

from eelgrassferry.platform.tests.standin_store import StandinStore

__all__ = ["EngineProcess"]

SCRIPT = Path(__file__).with_name("engine_in_trouble.py")


class EngineProcess:
    """An engine in a process of its own, which may send bytes without end."""

    def __init__(self, instance: str, model: str, *options: str) -> None:
        self.instance = instance
        self._model = model
        self._options = options
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, store: StandinStore, zone: str = "zone-a") -> None:
        """Start the process and write the registry entry."""
        words = (sys.executable, str(SCRIPT), "--model", self._model, *self._options)
        self._process = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE)
        assert self._process.stdout is not None
        port = int(await self._process.stdout.readline())
        entry = {
            "service": "chat",
            "address": f"127.0.0.1:{port}",
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "models": [{"name": self._model, "version": 1, "adapters": []}],
            "sequence": 1,
            "born": 1000,
        }
        await store.write("servers", self.instance, entry)

    async def stop(self) -> None:
        """Kill the process."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
