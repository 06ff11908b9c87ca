"""The command that changes the configuration of a site."""

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
POLL_INTERVAL_S = 0.2


@dataclass(frozen=True)
class _PollResult:
    """Result of a poll: the time since the change was sent, and whether it is in force.

    ``lagging`` are the live nodes that have not reported the revision yet. ``failure`` is set if
    the node could not be polled.
    """

    seconds: float
    lagging: tuple[str, ...] = ()
    failure: Unreachable | None = None

    @property
    def is_in_force(self) -> bool:
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
    """Apply settings files as the new configuration of a site.

    If the answer is lost, the call is repeated with the same change id, so the change can't be
    applied twice. Exit codes: 0 applied, 1 refused (or not in force at every live node within
    --wait-timeout), 2 invalid, 3 cannot reach the node.

    Parameters
    ----------
    base
        The base file.
    overlay
        The overlay file of the site.
    based_on
        The revision on which the change is based, as printed by diff or status; 0 for the first
        configuration of a site.
    change_id
        The id of the change, used to repeat a call whose result is unknown. Random by default.
    author
        The author of the change; the login name by default.
    wait
        Wait until every live node reports the accepted revision, and print the time it took.
    wait_timeout
        The maximum time to wait, in seconds.
    """
    match read_settings_files(base, overlay):
        case Err(errors):
            return report_errors(errors, as_json=json)
        case Ok(texts):
            sent_texts = (SettingsText(Path(text.file).name, text.text) for text in texts)
    created = OperatorClient.from_access(access)
    if isinstance(created, Err):
        return report_usage(created.err_value, as_json=json)
    change_id = change_id or uuid.uuid4().hex
    author = author or os.environ.get("USER", "") or "unknown"
    change = ConfigChange(*sent_texts, based_on, change_id, author)
    timeout_s = wait_timeout if wait else 0.0
    return asyncio.run(_apply(created.ok_value, change, timeout_s, json))


async def _apply(
    client: OperatorClient, change: ConfigChange, wait_timeout_s: float, as_json: bool
) -> ExitCode:
    started_s = time.monotonic()
    hint = f"to ask again: --based-on {change.based_on} --change-id {change.change_id}"
    try:
        match await _send(client, encode_change(change)):
            case Err(error):
                shown_hint = hint if error.sent else ""
                return report_unreachable(error, as_json=as_json, hint=shown_hint)
            case Ok(reply) if reply.status != 200:
                shown_hint = hint if _may_have_run(reply) else ""
                return report_refusal(reply, as_json=as_json, hint=shown_hint)
            case Ok(reply):
                document = reply.document
        if wait_timeout_s <= 0:
            line = f"revision {document['revision']} accepted"
            return report(ExitCode.OK, document, [line], as_json=as_json)
        poll_result = await _wait_until_in_force(
            client, document["revision"], started_s, wait_timeout_s
        )
        return _report_wait(document, poll_result, as_json)
    finally:
        client.close()


async def _send(client: OperatorClient, body: bytes) -> Result[OperatorReply, Unreachable]:
    """Send the change, and repeat the call up to ``MAX_ATTEMPTS`` times if its result is unknown.

    The result is unknown if the answer was lost or reports that the change may have been applied.
    A call that never reached the node is repeated only after one that may have reached it.
    """
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
    """Return whether the reply is an error after which the change may be in force."""
    document = reply.document
    return reply.status >= 500 and isinstance(document, dict) and document.get("ran") == "unknown"


async def _wait_until_in_force(
    client: OperatorClient, revision: int, started_s: float, timeout_s: float
) -> _PollResult:
    """Poll the node until every live node reports the revision or the timeout expires.

    Times are in seconds since ``started_s``, when the change was sent.
    """
    while True:
        answer = await client.call("GET", "/status")
        seconds = time.monotonic() - started_s
        match answer:
            case Ok(reply) if reply.status == 200:
                poll_result = _PollResult(seconds, _find_lagging_nodes(reply.document, revision))
            case Ok(reply):
                detail = f"status {reply.status}"
                poll_result = _PollResult(
                    seconds, failure=Unreachable("poll", client.address, True, detail)
                )
            case Err(error):
                poll_result = _PollResult(seconds, failure=error)
        if poll_result.is_in_force or seconds >= timeout_s:
            return poll_result
        await asyncio.sleep(POLL_INTERVAL_S)


def _find_lagging_nodes(document: dict[str, Any], revision: int) -> tuple[str, ...]:
    """Return the live nodes that have not reported the revision, including the polled node."""
    nodes = [node for node in document.get("nodes", []) if node.get("state") == "live"]
    lagging = [str(node.get("name")) for node in nodes if node.get("revision", 0) < revision]
    polled_node = str(document.get("node"))
    if document.get("revision", 0) < revision and polled_node not in lagging:
        lagging.append(polled_node)
    return tuple(lagging)


def _report_wait(document: dict[str, Any], poll_result: _PollResult, as_json: bool) -> ExitCode:
    revision, seconds = document["revision"], round(poll_result.seconds, 3)
    if poll_result.failure is not None:
        hint = f"revision {revision} was accepted"
        return report_unreachable(poll_result.failure, as_json=as_json, hint=hint)
    result = {**document, "in_force": poll_result.is_in_force, "seconds": seconds}
    if poll_result.is_in_force:
        line = f"revision {revision} in force at every live node after {seconds} s"
        return report(ExitCode.OK, result, [line], as_json=as_json)
    result["lagging"] = list(poll_result.lagging)
    names = ", ".join(poll_result.lagging)
    line = f"revision {revision} accepted; not in force after {seconds} s at: {names}"
    return report(ExitCode.REFUSED, result, [line], as_json=as_json)
