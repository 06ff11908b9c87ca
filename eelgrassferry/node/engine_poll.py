"""Requests for an engine's status, load and cache events."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED
from ..http import HttpClient, HttpError, HttpResponse
from ..routing import CacheEvent, CacheEventKind, LoadReport, ResidentCopy

__all__ = ["EngineView", "read_engine_events", "read_engine_status"]

POLL_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class EngineView:
    """An engine's status at one time, with the exact load at that time."""

    upstream: str
    instance: str
    copies: tuple[ResidentCopy, ...]
    leaving: bool
    memory_mib: int
    used_mib: int
    load: LoadReport


async def read_engine_status(
    client: HttpClient, upstream: str, address: str
) -> Result[EngineView, HttpError]:
    """Read ``/admin/status``: residents, memory, load and whether the engine is leaving.

    ``/admin/load`` is not read as well, because it would cost a second request and reports the same
    load with a lag. The load's timestamp is the time at which the status request was sent, because
    the engine may or may not have counted requests that were dispatched after that.
    """
    sent_at = time.monotonic()
    document = await _get_json(client, address, "/admin/status")
    return document.and_then(
        lambda value: _decode(address, lambda: _to_view(upstream, value, sent_at))
    )


async def read_engine_events(
    client: HttpClient, address: str, after: int
) -> Result[tuple[CacheEvent, ...], HttpError]:
    """Read the prefix cache events numbered above ``after``."""
    document = await _get_json(client, address, f"/admin/events?after={after}")
    return document.and_then(lambda value: _decode(address, lambda: _to_events(value)))


async def _get_json(client: HttpClient, address: str, target: str) -> Result[Any, HttpError]:
    sent = await client.request(address, "GET", target, timeout_s=POLL_TIMEOUT_S)
    match sent:
        case Ok(HttpResponse(status=200) as res):
            return _decode(address, res.json)
        case Ok(res):
            return Err(HttpError("status", address, True, f"status {res.status}"))
        case failure:
            return failure


def _decode(address: str, read: Callable[[], Any]) -> Result[Any, HttpError]:
    try:
        return Ok(read())
    except MALFORMED as exc:
        return Err(HttpError("decode", address, True, f"malformed answer: {exc!r}"))


def _to_view(upstream: str, value: Any, sent_at: float) -> EngineView:
    copies = tuple(
        ResidentCopy(str(r["name"]), str(r["version"]))
        for r in value["residents"]
        if r["state"] == "ready"
    )
    return EngineView(
        upstream,
        str(value["instance"]),
        copies,
        value.get("state") == "leaving",
        int(value["memory_mib"]),
        int(value["used_mib"]),
        LoadReport(upstream, int(value["running"]), int(value["queued"]), sent_at),
    )


def _to_events(value: Any) -> tuple[CacheEvent, ...]:
    return tuple(
        CacheEvent(int(e["seq"]), CacheEventKind(e["kind"]), tuple(e["blocks"]))
        for e in value["events"]
    )
