"""Encoding of requests for turns at upstreams that limit their rate, and of the replies."""

from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from ..dispatch import TurnReply, TurnRequest
from ..documents import MALFORMED
from ..peers.errors import MalformedMessage

__all__ = [
    "decode_turn_replies",
    "decode_turn_requests",
    "encode_turn_replies",
    "encode_turn_requests",
]


def encode_turn_requests(requests: Sequence[TurnRequest]) -> Any:
    """Encode requests for turns as the body of a frame."""
    return [[request.process_id, request.count, request.max_wait_s] for request in requests]


def decode_turn_requests(body: Any) -> Result[list[TurnRequest], MalformedMessage]:
    """Decode a frame's body into requests for turns."""
    try:
        return Ok(
            [
                TurnRequest(str(process_id), int(count), float(max_wait_s))
                for process_id, count, max_wait_s in body
            ]
        )
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_turns", "", repr(exc)))


def encode_turn_replies(replies: Sequence[TurnReply], now: float) -> Any:
    """Encode replies to requests for turns as the body of a frame sent at ``now``."""
    return [
        [reply.process_id, reply.count, [at - now for at in reply.turns], reply.next_at - now]
        for reply in replies
    ]


def decode_turn_replies(body: Any, now: float) -> Result[list[TurnReply], MalformedMessage]:
    """Decode a frame's body, received at ``now``, into replies to requests for turns."""
    try:
        return Ok(
            [
                TurnReply(
                    str(process_id),
                    int(count),
                    tuple(now + wait_s for wait_s in waits),
                    now + next_in_s,
                )
                for process_id, count, waits, next_in_s in body
            ]
        )
    except MALFORMED as exc:
        return Err(MalformedMessage("decode_turns", "", repr(exc)))
