"""Rendezvous hashing: every node picks the same owner of a key without talking to the others."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous_owner"]


def rendezvous_owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash for the key, None where there are no names.

    When a name leaves, only the keys it owned move.
    """
    base = hashlib.blake2b(key.encode() + b"\0", digest_size=8)

    def score(name: str) -> tuple[bytes, str]:
        state = base.copy()
        state.update(name.encode())
        return state.digest(), name

    return max(names, key=score, default=None)
