"""Estimated token counts and prefix block hashes of prompts.

The hashes match those that engines report in cache events.
"""

import hashlib

from ..routing import PREFIX_BLOCK_TOKENS

__all__ = ["count_tokens", "hash_blocks"]

HASH_BYTES = 8


def count_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt as its number of words, at least 1.

    >>> count_tokens("draft the results sheet")
    4
    """
    return max(1, len(prompt.split()))


def hash_blocks(name: str, version: str, prompt: str) -> tuple[str, ...]:
    """Return the hash of each complete block of the prompt, as engines compute it.

    Each hash covers the name, the version and all tokens up to the end of its block, so prompts
    with equal prefixes have equal leading hashes. The hashes of an engine with another algorithm
    never match, which only loses prefix affinity.
    """
    words = prompt.split()
    state = hashlib.blake2b(digest_size=HASH_BYTES)
    for field in (name, version):
        state.update(field.encode("utf-8", "surrogatepass") + b"\0")
    hashes = []
    for end in range(PREFIX_BLOCK_TOKENS, len(words) + 1, PREFIX_BLOCK_TOKENS):
        state.update(" ".join(words[end - PREFIX_BLOCK_TOKENS : end]).encode() + b"\0")
        hashes.append(state.hexdigest())
    return tuple(hashes)
