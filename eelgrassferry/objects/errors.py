"""Errors returned by calls of the object API."""

from dataclasses import dataclass

__all__ = ["Conflict", "HistoryGone", "ObjectError", "RateLimited", "TooLarge", "Unavailable"]


@dataclass(frozen=True)
class Conflict:
    """The object does not have the expected version; the write did not take effect."""

    step: str
    peer: str
    key: str


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer has the requested changes; the prefix has to be listed again."""

    step: str
    peer: str
    prefix: str


@dataclass(frozen=True)
class RateLimited:
    """The call exceeded the store's rate limit and did not take effect."""

    step: str
    peer: str


@dataclass(frozen=True)
class TooLarge:
    """The value exceeds the size limit of the object API; the write did not take effect."""

    step: str
    peer: str
    size_bytes: int


@dataclass(frozen=True)
class Unavailable:
    """The store sent no usable response.

    ``uncertain`` is True if a write may have taken effect nevertheless.
    """

    step: str
    peer: str
    detail: str
    uncertain: bool


ObjectError = Conflict | HistoryGone | RateLimited | TooLarge | Unavailable
