"""The command line interface."""

import os
import sys
from collections.abc import Sequence

from cyclopts import CycloptsError

from .app import app
from .exit_code import ExitCode

__all__ = ["ExitCode", "app", "main"]


def main(tokens: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code, see ``ExitCode``.

    ``tokens`` are the arguments without the program name, by default those of the process.
    """
    try:
        outcome = app(tokens, exit_on_error=False, print_error=False)
    except CycloptsError as exc:
        print(f"usage error: {exc}", file=sys.stderr)
        return ExitCode.INVALID
    except BrokenPipeError:
        # The reader of the output has closed the pipe, as "| head" does. Redirect standard output,
        # because otherwise the interpreter fails again when it flushes it at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 141  # exit code that a shell reports for a process ended by SIGPIPE
    except KeyboardInterrupt:
        return 130  # exit code that a shell reports for a process ended by SIGINT
    return outcome if isinstance(outcome, int) else ExitCode.OK
