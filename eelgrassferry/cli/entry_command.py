"""The command that runs an entry node on the users' platform."""

import asyncio
import sys

from result import Err

from ..fleet import EntrySettings
from ..logs import BoundedLines, configure_logs
from .exit_code import ExitCode
from .output import report_errors
from .run_commands import LogLevel

__all__ = ["entry"]


def entry(*, log_level: LogLevel = "info") -> int:
    """Run an entry node on the users' platform until it is told to stop.

    The settings file is the one that the platform names in the environment. Logs go to standard
    output, one JSON object a line. Exit codes: 0 stopped as planned, 2 invalid settings.

    Parameters
    ----------
    log_level
        The lowest level that is logged.
    """
    from ..platform import load_entry_settings

    loaded = load_entry_settings()
    if isinstance(loaded, Err):
        return report_errors(loaded.err_value, as_json=False)
    configure_logs(log_level, BoundedLines(sys.stdout.fileno()))
    return asyncio.run(_run(loaded.ok_value))


async def _run(settings: EntrySettings) -> int:
    from ..entry import EntryNode
    from ..http import HttpClient
    from ..platform import load_entry_settings, make_wire

    client = HttpClient()
    wire = make_wire(client, settings.object_store)
    code = await EntryNode(settings, wire, client, load_entry_settings).run()
    return ExitCode(code)
