"""Rendezvous hashing, with which all nodes choose the same owner of a key independently."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous_owner"]


def rendezvous_owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash for the key, or None if ``names`` is empty.

    When a name is removed, only the keys that it owned change their owner.
    """
    base = hashlib.blake2b(key.encode() + b"\0", digest_size=8)

    def score(name: str) -> tuple[bytes, str]:
        state = base.copy()
        state.update(name.encode())
        return state.digest(), name

    return max(names, key=score, default=None)
