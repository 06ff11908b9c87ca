"""Typed errors of the object API."""

from dataclasses import dataclass

__all__ = ["Conflict", "HistoryGone", "ObjectError", "RateLimited", "TooLarge", "Unavailable"]


@dataclass(frozen=True)
class Conflict:
    """The object's version is not the expected one; the write did not take effect."""

    step: str
    peer: str
    key: str


@dataclass(frozen=True)
class HistoryGone:
    """The store has dropped the changes asked for; the prefix has to be listed again."""

    step: str
    peer: str
    prefix: str


@dataclass(frozen=True)
class RateLimited:
    """The call was refused over the rate and did not take effect."""

    step: str
    peer: str


@dataclass(frozen=True)
class TooLarge:
    """The value is larger than the object API holds; the write did not take effect."""

    step: str
    peer: str
    size_bytes: int


@dataclass(frozen=True)
class Unavailable:
    """No answer. ``uncertain`` is True where a write may have taken effect all the same."""

    step: str
    peer: str
    detail: str
    uncertain: bool


ObjectError = Conflict | HistoryGone | RateLimited | TooLarge | Unavailable
