"""Start of node processes."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

__all__ = ["spawn_node"]

ROOT = Path(__file__).resolve().parents[3]
SETTINGS = "EELGRASSFERRY_SETTINGS"


async def spawn_node(
    settings: Path | None, *options: str, **streams: Any
) -> asyncio.subprocess.Process:
    """Start a node process. Without ``settings`` its environment names no settings file.

    ``options`` are added to the command, and ``streams`` are passed to
    ``asyncio.create_subprocess_exec``.
    """
    env = {key: value for key, value in os.environ.items() if key != SETTINGS}
    if settings is not None:
        env[SETTINGS] = str(settings)
    command = (sys.executable, "-m", "eelgrassferry", "entry", *options)
    return await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, **streams)
