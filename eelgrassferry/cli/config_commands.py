"""Commands about the configuration of the fleet on the platform of the users."""

import asyncio
from pathlib import Path

from cyclopts import App
from result import Err, Ok, Result

from ..fleet_check import Severity
from ..settings import SettingError
from .exit_code import ExitCode
from .output import AsJson, report, report_errors

__all__ = ["config"]

config = App(name="config", help="Commands about the configuration of the fleet.")


@config.command
def check(file: Path, *, against: Path | None = None, store: str = "", json: AsJson = False) -> int:
    """Check a configuration of the fleet before it is written to the platform's store.

    Prints errors, entries that can never match, limits that contradict each other, and what differs
    from the configuration in force. Exit codes: 0 nothing wrong, 1 warnings only, 2 errors, 3 the
    configuration in force cannot be read.

    Parameters
    ----------
    file
        The configuration, as JSON.
    against
        A file with the configuration in force.
    store
        The address ``IP:PORT`` of the platform's store, from which the configuration in force is
        read.
    """
    from ..platform import check_config

    text = _read(file)
    if isinstance(text, Err):
        return report_errors((text.err_value,), as_json=json)
    in_force = _read_in_force(against, store)
    if isinstance(in_force, Err):
        report_errors((in_force.err_value,), as_json=json)
        return ExitCode.UNREACHABLE
    match check_config(text.ok_value, in_force.ok_value):
        case Ok(checked):
            findings, differences = checked.findings, checked.differences
        case Err(errors):
            findings, differences = errors, ()
    severities = {located.finding.severity for located in findings}
    code = ExitCode.OK
    if severities:
        code = ExitCode.INVALID if Severity.ERROR in severities else ExitCode.REFUSED
    document = {
        "findings": [
            {
                "file": str(file),
                "line": located.line,
                "key": located.key,
                "severity": located.finding.severity.value,
                "code": located.finding.code,
                "entry": str(located.finding.entry),
                "message": located.finding.message,
            }
            for located in findings
        ],
        "differences": [str(difference) for difference in differences],
    }
    lines = [
        f"{file}:{located.line}: {located.finding.severity.value}: {located.finding.entry}"
        f"{f' {located.key}' if located.key else ''}: {located.finding.message}"
        for located in findings
    ]
    lines += [f"changed: {difference}" for difference in differences]
    return report(code, document, lines or [f"{file}: nothing wrong"], as_json=json)


def _read(path: Path) -> Result[bytes, SettingError]:
    try:
        return Ok(path.read_bytes())
    except OSError as exc:
        return Err(SettingError(str(path), "", "", "read", f"cannot be read: {exc.strerror}"))


def _read_in_force(against: Path | None, store: str) -> Result[bytes | None, SettingError]:
    """Return the configuration in force from a file or the store, None if neither is named."""
    if against is not None:
        return _read(against)
    if not store:
        return Ok(None)
    return asyncio.run(_fetch(store))


async def _fetch(store: str) -> Result[bytes | None, SettingError]:
    from ..http import HttpClient
    from ..platform import make_platform_protocol

    client = HttpClient()
    protocol = make_platform_protocol(client, store)
    try:
        read = await protocol.object_store.get(protocol.config_key)
    finally:
        client.close()
    if isinstance(read, Err):
        return Err(SettingError(store, "", "", "read", "the store gave no answer"))
    return Ok(read.ok_value.value if read.ok_value is not None else None)
