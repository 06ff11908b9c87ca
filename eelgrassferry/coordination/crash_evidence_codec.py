"""Encoding of observations on crashed upstreams in messages between nodes."""

from collections.abc import Mapping
from typing import Any

from ..dispatch import BlockedContent, BrokenRun, CrashEvidence

__all__ = ["decode_crash_evidence", "encode_crash_evidence"]


def encode_crash_evidence(evidence: CrashEvidence, now: float) -> list[Any]:
    """Encode observations for a message sent at ``now``; times become relative to it."""
    return [
        [[run.process, run.at - now, list(run.fingerprints)] for run in evidence.broken_runs],
        _shift(evidence.ended, -now),
        _shift(evidence.alive, -now),
        _shift(evidence.served, -now),
        [
            [
                sorted(block.fingerprints),
                block.blocked_at - now,
                block.served_at - now,
                block.trials,
                list(block.crashed),
            ]
            for block in evidence.blocked
        ],
    ]


def decode_crash_evidence(body: Any, now: float) -> CrashEvidence:
    """Decode observations from a message received at ``now``.

    Without a body there are none. A malformed body raises ``TypeError`` or ``ValueError``.
    """
    if body is None:
        return CrashEvidence()
    runs, ended, alive, served, blocked = body
    return CrashEvidence(
        tuple(BrokenRun(process, now + ago_s, tuple(names)) for process, ago_s, names in runs),
        _shift(ended, now),
        _shift(alive, now),
        _shift(served, now),
        tuple(
            BlockedContent(
                frozenset(names),
                now + blocked_ago_s,
                now + served_ago_s,
                int(trials),
                tuple(crashed),
            )
            for names, blocked_ago_s, served_ago_s, trials, crashed in blocked
        ),
    )


def _shift(times: Mapping[str, float], by_s: float) -> dict[str, float]:
    return {name: at + by_s for name, at in dict(times).items()}
