"""Plain and JSON output."""

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
    """Print a result and return its exit code.

    JSON always goes to standard output. Plain text goes to standard error where the command
    failed, except that differences found by a comparison are its result.
    """
    if as_json:
        print(json.dumps(document, indent=2))
        return code
    failed = code not in (ExitCode.OK, ExitCode.REFUSED)
    for line in lines:
        print(line, file=sys.stderr if failed else sys.stdout)
    return code


def report_errors(errors: Iterable[SettingError], *, as_json: bool) -> ExitCode:
    """Print faults in settings, one a line."""
    found = tuple(errors)
    fields = ("file", "section", "key", "step", "message")
    document = {"errors": [{f: getattr(error, f) for f in fields} for error in found]}
    return report(ExitCode.INVALID, document, map(str, found), as_json=as_json)
