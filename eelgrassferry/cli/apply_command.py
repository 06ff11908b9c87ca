"""The command that changes a site's configuration."""

import asyncio
import os
import time
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from ..settings import ConfigChange, SettingsText, encode_change
from .exit_code import ExitCode
from .files import read_settings_files
from .operator_client import NodeAccess, OperatorClient, OperatorReply, Unreachable
from .output import AsJson, report, report_errors
from .replies import report_refusal, report_unreachable, report_usage

__all__ = ["apply"]

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 1.0
POLL_S = 0.2


@dataclass(frozen=True)
class _Wait:
    """What polling found: the time taken, or the nodes that lag, or why the node is silent."""

    seconds: float
    lagging: tuple[str, ...] = ()
    failure: Unreachable | None = None

    @property
    def done(self) -> bool:
        return not self.lagging and self.failure is None


def apply(
    base: Path,
    overlay: Path,
    *,
    based_on: int,
    access: NodeAccess,
    change_id: str = "",
    author: str = "",
    wait: bool = False,
    wait_timeout: float = 30.0,
    json: AsJson = False,
) -> int:
    """Put files into force for a whole site.

    A call whose answer is lost is sent again with the same change id, which cannot apply it
    twice. Exit codes: 0 in force, 1 refused (or not everywhere within --wait-timeout), 2 invalid,
    3 cannot reach the node.

    Parameters
    ----------
    base
        The base file.
    overlay
        The site's overlay.
    based_on
        The revision the change is based on, from diff or status; 0 for a site's first.
    change_id
        Names the change, to ask again after a doubtful answer. Chosen at random by default.
    author
        Who makes the change; the login name by default.
    wait
        Wait until every live node reports the accepted revision, and print the time it took.
    wait_timeout
        Seconds to wait at most.
    """
    match read_settings_files(base, overlay):
        case Err(errors):
            return report_errors(errors, as_json=json)
        case Ok(texts):
            named = (SettingsText(Path(text.file).name, text.text) for text in texts)
    opened = OperatorClient.of(access)
    if isinstance(opened, Err):
        return report_usage(opened.err_value, as_json=json)
    change_id = change_id or uuid.uuid4().hex
    author = author or os.environ.get("USER", "") or "unknown"
    change = ConfigChange(*named, based_on, change_id, author)
    timeout_s = wait_timeout if wait else 0.0
    return asyncio.run(_apply(opened.ok_value, change, timeout_s, json))


async def _apply(
    client: OperatorClient, change: ConfigChange, wait_timeout_s: float, as_json: bool
) -> ExitCode:
    started_s = time.monotonic()
    hint = f"to ask again: --based-on {change.based_on} --change-id {change.change_id}"
    try:
        match await _send(client, encode_change(change)):
            case Err(error):
                asked = hint if error.sent else ""
                return report_unreachable(error, as_json=as_json, hint=asked)
            case Ok(reply) if reply.status != 200:
                asked = hint if _may_have_run(reply) else ""
                return report_refusal(reply, as_json=as_json, hint=asked)
            case Ok(reply):
                document = reply.document
        if wait_timeout_s <= 0:
            line = f"revision {document['revision']} accepted"
            return report(ExitCode.OK, document, [line], as_json=as_json)
        waited = await _wait_until_live(client, document["revision"], started_s, wait_timeout_s)
        return _report_wait(document, waited, as_json)
    finally:
        client.close()


async def _send(client: OperatorClient, body: bytes) -> Result[OperatorReply, Unreachable]:
    """Send the change until its answer is certain, a few times at most."""
    sent = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_S)
        answer = await client.call("POST", "/config/apply", body)
        match answer:
            case Ok(reply) if not _may_have_run(reply):
                return answer
            case Err(error) if not error.sent and not sent:
                return answer
            case Err(error):
                sent = True
                answer = Err(Unreachable(error.step, error.peer, True, error.detail))
    return answer


def _may_have_run(reply: OperatorReply) -> bool:
    document = reply.document
    return reply.status >= 500 and isinstance(document, dict) and document.get("ran") == "unknown"


async def _wait_until_live(
    client: OperatorClient, revision: int, started_s: float, timeout_s: float
) -> _Wait:
    """Poll until every live node reports the revision. Times count from sending the change."""
    while True:
        answer = await client.call("GET", "/status")
        seconds = time.monotonic() - started_s
        match answer:
            case Ok(reply) if reply.status == 200:
                found = _Wait(seconds, _lagging(reply.document, revision))
            case Ok(reply):
                detail = f"status {reply.status}"
                found = _Wait(seconds, failure=Unreachable("poll", client.address, True, detail))
            case Err(error):
                found = _Wait(seconds, failure=error)
        if found.done or seconds >= timeout_s:
            return found
        await asyncio.sleep(POLL_S)


def _lagging(document: dict[str, Any], revision: int) -> tuple[str, ...]:
    """Return the live nodes that have not reported the revision, the asked node included."""
    nodes = [node for node in document.get("nodes", []) if node.get("state") == "live"]
    lagging = [str(node.get("name")) for node in nodes if node.get("revision", 0) < revision]
    own = str(document.get("node"))
    if document.get("revision", 0) < revision and own not in lagging:
        lagging.append(own)
    return tuple(lagging)


def _report_wait(document: dict[str, Any], waited: _Wait, as_json: bool) -> ExitCode:
    revision, seconds = document["revision"], round(waited.seconds, 3)
    if waited.failure is not None:
        hint = f"revision {revision} was accepted"
        return report_unreachable(waited.failure, as_json=as_json, hint=hint)
    result = {**document, "in_force": waited.done, "seconds": seconds}
    if waited.done:
        line = f"revision {revision} in force at every live node after {seconds} s"
        return report(ExitCode.OK, result, [line], as_json=as_json)
    result["lagging"] = list(waited.lagging)
    names = ", ".join(waited.lagging)
    line = f"revision {revision} accepted; not in force after {seconds} s at: {names}"
    return report(ExitCode.REFUSED, result, [line], as_json=as_json)
