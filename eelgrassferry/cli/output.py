"""Output of results as plain text or JSON."""

import json
import sys
from collections.abc import Iterable
from typing import Annotated, Any

from cyclopts import Parameter

from ..settings import SettingError
from .exit_code import ExitCode

__all__ = ["AsJson", "report", "report_errors"]

AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]


def report(code: ExitCode, document: Any, lines: Iterable[str], *, as_json: bool) -> ExitCode:
    """Print the result of a command and return its exit code.

    JSON is always written to standard output. Plain text is written to standard error if the
    command failed. Exit code ``REFUSED`` is not a failure in this sense, because the differences
    found by a comparison are its result.
    """
    if as_json:
        print(json.dumps(document, indent=2))
        return code
    failed = code not in (ExitCode.OK, ExitCode.REFUSED)
    for line in lines:
        print(line, file=sys.stderr if failed else sys.stdout)
    return code


def report_errors(errors: Iterable[SettingError], *, as_json: bool) -> ExitCode:
    """Print errors in settings, one per line."""
    found = tuple(errors)
    fields = ("file", "section", "key", "step", "message")
    document = {"errors": [{f: getattr(error, f) for f in fields} for error in found]}
    return report(ExitCode.INVALID, document, map(str, found), as_json=as_json)
