"""Encoding of the messages on the quotas of tenants."""

from typing import Any

from result import Err, Ok, Result

from ..documents import MALFORMED, to_number
from ..peers.errors import MalformedMessage
from ..tenants import QuotaAsk, QuotaGrant, QuotaReply, QuotaReport

__all__ = [
    "decode_quota_reply",
    "decode_quota_report",
    "encode_quota_reply",
    "encode_quota_report",
]

# Largest amount and longest time of a message, so that NaN and infinity are malformed.
MAX_UNITS = 1e15


def encode_quota_report(report: QuotaReport) -> Any:
    """Encode a node's message as the body of a frame."""
    asks = [[ask.ask_id, ask.tenant, ask.units, ask.max_wait_s] for ask in report.asks]
    return {"spent": dict(report.spent), "asks": asks}


def decode_quota_report(body: Any) -> Result[QuotaReport, MalformedMessage]:
    """Decode a frame's body into a node's message."""
    try:
        asks = tuple(
            QuotaAsk(int(ask_id), str(tenant), to_number(units), to_number(max_wait_s))
            for ask_id, tenant, units, max_wait_s in body["asks"]
        )
        spent = {str(name): to_number(units, -MAX_UNITS) for name, units in body["spent"].items()}
        return Ok(QuotaReport(spent, asks))
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_quotas", "", repr(exc)))


def encode_quota_reply(reply: QuotaReply, now: float) -> Any:
    """Encode the coordinator's message as the body of a frame sent at ``now``."""
    grants = [
        [grant.ask_id, _relative(grant.start_at, now), _relative(grant.next_at, now)]
        for grant in reply.grants
    ]
    return {"grants": grants, "open": dict(reply.is_open)}


def decode_quota_reply(body: Any, now: float) -> Result[QuotaReply, MalformedMessage]:
    """Decode a frame's body, received at ``now``, into the coordinator's message."""
    try:
        grants = tuple(
            QuotaGrant(int(ask_id), _absolute(start_in_s, now), _absolute(next_in_s, now))
            for ask_id, start_in_s, next_in_s in body["grants"]
        )
        is_open = {str(name): bool(is_open) for name, is_open in body["open"].items()}
        return Ok(QuotaReply(grants, is_open))
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_quotas", "", repr(exc)))


def _relative(at: float | None, now: float) -> float | None:
    return None if at is None else at - now


def _absolute(wait_s: float | None, now: float) -> float | None:
    return None if wait_s is None else now + to_number(wait_s, -MAX_UNITS)
