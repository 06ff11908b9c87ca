"""The command that runs an entry node on the platform of the users."""

import asyncio
import sys

from result import Err

from ..fleet import EntrySettings
from ..logs import BoundedLines, configure_logs
from .exit_code import ExitCode
from .output import report_errors
from .run_commands import LogLevel

__all__ = ["entry"]


def entry(*, metrics_port: int = 0, log_level: LogLevel = "info") -> int:
    """Run an entry node on the platform of the users until it receives a stop signal.

    The path of the settings file is read from the environment set by the platform. Logs are
    written to standard output, one JSON object per line. Exit codes: 0 stopped normally, 2 invalid
    settings.

    Parameters
    ----------
    metrics_port
        The port on which metrics are served as text; 0 disables it.
    log_level
        The lowest level that is logged.
    """
    from ..platform import load_entry_settings

    loaded = load_entry_settings()
    if isinstance(loaded, Err):
        return report_errors(loaded.err_value, as_json=False)
    configure_logs(log_level, BoundedLines(sys.stdout.fileno()))
    return asyncio.run(_run(loaded.ok_value, metrics_port))


async def _run(settings: EntrySettings, metrics_port: int) -> int:
    from ..entry import PROCESS_STARTED_S, EntryNode
    from ..http import HttpClient
    from ..platform import load_entry_settings, make_platform_protocol

    client = HttpClient()
    protocol = make_platform_protocol(client, settings.object_store)
    host = settings.caller_listen.rpartition(":")[0]
    metrics = f"{host}:{metrics_port}" if metrics_port else ""
    node = EntryNode(
        settings, protocol, client, metrics, load_entry_settings, alone_since=PROCESS_STARTED_S
    )
    return ExitCode(await node.run())
