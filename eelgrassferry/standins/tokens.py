"""Deterministic output tokens, request digests and prefix block hashes of the engine stand-in."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = [
    "block_hashes",
    "count_prompt_tokens",
    "expected_tokens",
    "join_tokens",
    "render_chat",
    "request_digest",
]


def expected_tokens(name: str, version: str, prompt: str, count: int) -> tuple[str, ...]:
    """Return the first ``count`` output tokens of a model or adapter for a prompt.

    A token depends only on the name, the version, the prompt and the token's index, so that a test
    can check an answer of which several engines produced parts.

    >>> expected_tokens("m1", "1", "hello", 2) == expected_tokens("m1", "1", "hello", 3)[:2]
    True
    """
    seed = hashlib.blake2b(_join_fields(name, version, prompt), digest_size=4)
    tokens = []
    for index in range(count):
        state = seed.copy()
        state.update(index.to_bytes(4, "big"))
        tokens.append(state.hexdigest())
    return tuple(tokens)


def join_tokens(tokens: Iterable[str]) -> str:
    """Return the text that consists of the given tokens."""
    return " ".join(tokens)


def render_chat(messages: Iterable[Mapping[str, Any]]) -> str:
    """Return the prompt for a list of chat messages.

    >>> render_chat([{"role": "user", "content": "hello"}])
    'user: hello'
    """
    return "\n".join(f"{m.get('role', '')}: {m.get('content', '')}" for m in messages)


def request_digest(name: str, prompt: str) -> str:
    """Return the key of a request in ``digests`` of an engine's ``GET /counts``."""
    return hashlib.blake2b(_join_fields(name, prompt), digest_size=16).hexdigest()


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of prompt tokens, which is the number of words but at least 1."""
    return max(1, len(prompt.split()))


def block_hashes(name: str, version: str, prompt: str, block_tokens: int) -> tuple[str, ...]:
    """Return the hash of each full block of ``block_tokens`` prompt tokens.

    Each hash covers the name, the version and all tokens up to the end of its block, so that two
    prompts share exactly the hashes of the full blocks in their common prefix.
    """
    words = prompt.split()
    state = hashlib.blake2b(_join_fields(name, version), digest_size=8)
    hashes = []
    for end in range(block_tokens, len(words) + 1, block_tokens):
        state.update(" ".join(words[end - block_tokens : end]).encode() + b"\0")
        hashes.append(state.hexdigest())
    return tuple(hashes)


def _join_fields(*fields: str) -> bytes:
    return b"".join(field.encode("utf-8", "surrogatepass") + b"\0" for field in fields)
