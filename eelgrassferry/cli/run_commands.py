"""Commands that run a node, a demo deployment or a stand-in."""

import asyncio
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import Parameter
from result import Err

from ..logs import configure_logs
from ..settings import load_node_settings
from .exit_code import ExitCode
from .files import read_settings_file
from .output import report_errors

__all__ = ["demo", "node", "standin"]

LogLevel = Literal["debug", "info", "warning", "error"]


def node(*, settings: Path, log_level: LogLevel = "info") -> int:
    """Run an entry node until it receives a stop signal. Logs are written to standard error.

    Exit codes: 0 stopped normally, 2 invalid settings.

    Parameters
    ----------
    settings
        The settings file of the node, with the section [node].
    log_level
        The lowest level that is logged.
    """
    loaded = read_settings_file(settings).and_then(load_node_settings)
    if isinstance(loaded, Err):
        return report_errors(loaded.err_value, as_json=False)
    from ..node import run_node

    configure_logs(log_level)
    return _to_exit_code(asyncio.run(run_node(loaded.ok_value)))


def demo(*, site: str = "uy-sur", seconds: float = 20.0, log_level: LogLevel = "warning") -> int:
    """Run a whole deployment in one process on loopback, and print statistics of the requests.

    Parameters
    ----------
    site
        The sample deployment to run: uy-sur or lower-mainland.
    seconds
        The duration of the load in seconds.
    log_level
        The lowest level that is logged.
    """
    from ..embedded import run_demo

    configure_logs(log_level)
    return _to_exit_code(asyncio.run(run_demo(site, seconds)))


def standin(
    *tokens: Annotated[str, Parameter(show=False, allow_leading_hyphen=True)],
) -> int:
    """Run a stand-in of an external system: platform, engine, service or store."""
    from .standin import standin_app

    return _to_exit_code(standin_app(tokens, exit_on_error=False, print_error=False))


def _to_exit_code(outcome: object) -> int:
    """Return the result of a coroutine or command as an exit code, or 0 if it is not an integer."""
    return outcome if isinstance(outcome, int) else ExitCode.OK
