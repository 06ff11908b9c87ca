"""Commands that send a request to the operator listener of a node."""

import asyncio
import json as json_codec
from pathlib import Path
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..settings import ConfigChange, SettingsText, encode_change
from .exit_code import ExitCode
from .files import read_settings_files
from .operator_client import NodeAccess, OperatorClient, OperatorReply, Unreachable, UsageError
from .output import AsJson, report, report_errors
from .replies import (
    describe_differences,
    describe_status,
    report_refusal,
    report_unreachable,
    report_usage,
)

__all__ = ["diff", "drain", "explain", "status"]


def diff(base: Path, overlay: Path, *, access: NodeAccess, json: AsJson = False) -> int:
    """Compare settings files with the configuration in force at a node.

    Print the differences and the revision in force, which can be passed to ``apply`` as --based-on.
    Exit codes: 0 equal, 1 different or refused, 2 invalid, 3 cannot reach the node.

    Parameters
    ----------
    base
        The base file.
    overlay
        The overlay file of the site.
    """
    match read_settings_files(base, overlay):
        case Err(errors):
            return report_errors(errors, as_json=json)
        case Ok(texts):
            sent_texts = (SettingsText(Path(text.file).name, text.text) for text in texts)
            body = encode_change(ConfigChange(*sent_texts, 0, "", ""))
    answer = _send_request(access, "POST", "/config/diff", body)
    if not isinstance(answer, Ok) or answer.ok_value.status != 200:
        return _report_failure(answer, as_json=json)
    document = answer.ok_value.document
    found = document["differences"]
    lines = [f"revision {document['revision']} is in force; {len(found)} values differ"]
    lines += describe_differences(found)
    code = ExitCode.REFUSED if found else ExitCode.OK
    return report(code, document, lines, as_json=json)


def status(*, access: NodeAccess, json: AsJson = False) -> int:
    """Print the state of nodes and upstreams as observed by a node, and its counters.

    Exit codes: 0 ok, 1 refused, 3 cannot reach the node.
    """
    answer = _send_request(access, "GET", "/status")
    if not isinstance(answer, Ok) or answer.ok_value.status != 200:
        return _report_failure(answer, as_json=json)
    document = answer.ok_value.document
    return report(ExitCode.OK, document, describe_status(document), as_json=json)


def drain(name: str, *, access: NodeAccess, json: AsJson = False) -> int:
    """Drain an upstream or a node: it gets no new work and finishes the work in flight.

    Exit codes: 0 draining, 1 refused, 3 cannot reach the node.

    Parameters
    ----------
    name
        The name of the upstream or node.
    """
    body = json_codec.dumps({"name": name}).encode()
    answer = _send_request(access, "POST", "/drain", body)
    if not isinstance(answer, Ok) or answer.ok_value.status != 200:
        return _report_failure(answer, as_json=json)
    document = answer.ok_value.document
    line = f"{document.get('name')}: {document.get('state')}"
    return report(ExitCode.OK, document, [line], as_json=json)


def explain(
    *, request_id: str = "", model: str = "", access: NodeAccess, json: AsJson = False
) -> int:
    """Explain the decisions made for a request or a model.

    Give exactly one of --request-id and --model. Exit codes: 0 ok, 1 unknown to the node, 2 invalid
    usage, 3 cannot reach the node.

    Parameters
    ----------
    request_id
        The request id from the response or the log.
    model
        The name of a model or adapter.
    """
    if bool(request_id) == bool(model):
        message = "give either --request-id or --model"
        return report_usage(UsageError("read_options", "", message), as_json=json)
    query = {"request_id": request_id} if request_id else {"model": model}
    answer = _send_request(access, "GET", f"/explain?{urlencode(query)}")
    if not isinstance(answer, Ok) or answer.ok_value.status != 200:
        return _report_failure(answer, as_json=json)
    document = answer.ok_value.document
    lines = [str(document.get("subject", "")), *(f"  {x}" for x in document.get("lines", []))]
    return report(ExitCode.OK, document, lines, as_json=json)


def _send_request(
    access: NodeAccess, method: str, target: str, body: bytes = b""
) -> Result[OperatorReply, UsageError | Unreachable]:
    """Send one request and close the connection."""
    created = OperatorClient.from_access(access)
    if isinstance(created, Err):
        return created

    async def send() -> Result[OperatorReply, Unreachable]:
        try:
            return await created.ok_value.call(method, target, body)
        finally:
            created.ok_value.close()

    return asyncio.run(send())


def _report_failure(
    answer: Result[OperatorReply, UsageError | Unreachable], *, as_json: bool
) -> ExitCode:
    match answer:
        case Ok(reply):
            return report_refusal(reply, as_json=as_json)
        case Err(UsageError() as error):
            return report_usage(error, as_json=as_json)
        case Err(Unreachable() as error):
            return report_unreachable(error, as_json=as_json)
