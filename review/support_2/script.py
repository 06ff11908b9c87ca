"""The frame of a script: its record, its exit code and its end."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Record

__all__ = ["TROUBLE", "main"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A script may take 120 s.
LIMIT_S = 100.0


async def _run(run: Callable[[Record], Awaitable[bool]], record: Record) -> bool:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await run(record)


def main(run: Callable[[Record], Awaitable[bool]], rule: str, folder: Path) -> None:
    """Run a case, which returns whether the rule was broken, and exit.

    Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
    """
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(_run(run, record))
    except (Exception, asyncio.CancelledError) as exc:
        record.line("could not run: " + "".join(traceback.format_exception(exc)))
        sys.exit(2)
    record.line(f"BROKEN: {rule}" if broken else "the rule held")
    sys.exit(int(broken))
