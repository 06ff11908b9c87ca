"""Formatting of the replies of a node."""

import json
from collections.abc import Iterator
from typing import Any

from ..settings import Difference, SettingError
from .exit_code import ExitCode
from .operator_client import OperatorReply, Unreachable, UsageError
from .output import report, report_errors

__all__ = [
    "describe_differences",
    "describe_status",
    "report_refusal",
    "report_unreachable",
    "report_usage",
]


def report_usage(error: UsageError, *, as_json: bool) -> ExitCode:
    """Print a usage error."""
    document = {"reason": "usage", "detail": error.message}
    return report(ExitCode.INVALID, document, [error.message], as_json=as_json)


def report_unreachable(error: Unreachable, *, as_json: bool, hint: str = "") -> ExitCode:
    """Print why the node could not be reached, and the hint if there is one."""
    text = f"cannot reach the node at {error.peer}: {error.detail} ({error.step})"
    document = {"reason": "unreachable", "peer": error.peer, "detail": error.detail, "hint": hint}
    lines = [text, hint] if hint else [text]
    return report(ExitCode.UNREACHABLE, document, lines, as_json=as_json)


def report_refusal(reply: OperatorReply, *, as_json: bool, hint: str = "") -> ExitCode:
    """Print why the node refused a request.

    Errors in settings and conflicts are listed in detail.
    """
    document = reply.document if isinstance(reply.document, dict) else {}
    if reply.status == 422 and isinstance(document.get("errors"), list):
        fields = ("file", "section", "key", "step", "message")
        errors = (
            SettingError(*(str(error.get(field, "")) for field in fields))
            for error in document["errors"]
        )
        return report_errors(errors, as_json=as_json)
    reason = document.get("reason", f"status {reply.status}")
    lines = [f"refused: {reason}"]
    if reply.status == 409:
        lines = [f"refused: {reason}; revision {document.get('revision')} is in force"]
        lines += describe_differences(document.get("differences", []))
        if document.get("complete") is False:
            lines.append("older changes are no longer known; run diff to compare")
    elif document.get("detail"):
        lines = [f"refused: {reason}: {document['detail']}"]
    lines += [hint] if hint else []
    return report(ExitCode.REFUSED, reply.document, lines, as_json=as_json)


def describe_differences(differences: list[dict[str, Any]]) -> Iterator[str]:
    """Yield one line for each difference."""
    for item in differences:
        fields = (item.get(field) for field in ("section", "key", "old", "new"))
        yield str(Difference(*fields))


def describe_status(document: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that show the status of a node."""
    yield f"node {document.get('node')}, revision {document.get('revision')}"
    for part in ("nodes", "upstreams"):
        yield f"{part}:"
        for item in document.get(part, []):
            rest = (f"{key}={_format_value(value)}" for key, value in item.items() if key != "name")
            yield f"  {item.get('name')}  {'  '.join(rest)}"
    yield "counters:"
    for name, value in sorted(document.get("counters", {}).items()):
        yield f"  {name}  {value}"


def _format_value(value: Any) -> str:
    match value:
        case list():
            return ",".join(map(str, value)) or "-"
        case dict():
            return json.dumps(value, separators=(",", ":"))
        case _:
            return str(value)
