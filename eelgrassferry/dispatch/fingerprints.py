"""Fingerprints of what a request contains, by which its effect on upstreams is remembered."""

import hashlib
from collections.abc import Iterable

__all__ = ["is_whole_request", "part_fingerprints", "request_fingerprint"]

DIGEST_BYTES = 8
WHOLE_PREFIX = "request:"


def request_fingerprint(*content: bytes) -> str:
    """Return the fingerprint of a whole request, the same for each repetition of its content.

    >>> request_fingerprint(b"POST", b"/chat") == request_fingerprint(b"POST", b"/chat")
    True
    >>> request_fingerprint(b"ab", b"c") == request_fingerprint(b"a", b"bc")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in content:
        digest.update(len(part).to_bytes(8) + part)
    return f"{WHOLE_PREFIX}{digest.hexdigest()}"


def part_fingerprints(prompt_parts: Iterable[tuple[str, int]]) -> tuple[str, ...]:
    """Return the fingerprints of the prompt parts that other requests may share, all but the last.

    >>> part_fingerprints([("5c1e07a2", 800), ("91bd3f06", 410), ("e4402b7d", 250)])
    ('part:5c1e07a2', 'part:91bd3f06')
    """
    return tuple(f"part:{part_id}" for part_id, _ in tuple(prompt_parts)[:-1])


def is_whole_request(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a whole request rather than of a prompt part."""
    return fingerprint.startswith(WHOLE_PREFIX)
