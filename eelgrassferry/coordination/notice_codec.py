"""Encoding of what upstreams say of themselves in messages between nodes."""

from typing import Any

from ..dispatch import ProcessNotice

__all__ = ["decode_notices", "encode_notices"]


def encode_notices(notices: tuple[ProcessNotice, ...], now: float) -> list[list[Any]]:
    """Encode notices for a message sent at ``now``; times become relative to it."""
    return [
        [notice.process_id, notice.seen_at - now, notice.leaving, notice.limit_per_s]
        for notice in notices
    ]


def decode_notices(body: Any, now: float) -> tuple[ProcessNotice, ...]:
    """Decode the notices of a message received at ``now``.

    A malformed body raises ``TypeError`` or ``ValueError``.
    """
    return tuple(
        ProcessNotice(
            str(process_id),
            now + ago_s,
            bool(leaving),
            None if limit_per_s is None else float(limit_per_s),
        )
        for process_id, ago_s, leaving, limit_per_s in body
    )
