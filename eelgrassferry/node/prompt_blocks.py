"""Token counts and prefix hashes of a prompt, as engines report them in cache events."""

import hashlib

from ..routing import PREFIX_BLOCK_TOKENS

__all__ = ["count_tokens", "hash_blocks"]

HASH_BYTES = 8


def count_tokens(prompt: str) -> int:
    """Estimate a prompt's length in tokens by its words.

    >>> count_tokens("draft the results sheet")
    4
    """
    return max(1, len(prompt.split()))


def hash_blocks(name: str, version: str, prompt: str) -> tuple[str, ...]:
    """Return the engines' hash of each whole block of the prompt.

    Each hash covers the name, the version and all tokens up to the end of its block, so equal
    prefixes have equal leading hashes. An engine with another algorithm reports hashes that never
    match, which costs prefix affinity and nothing else.
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
