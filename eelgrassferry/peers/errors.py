"""Typed errors of the links between peers."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "FrameError",
    "FrameTooLarge",
    "HandshakeError",
    "MalformedMessage",
    "PeerError",
    "PeerFailure",
    "UnknownKind",
    "VersionMismatch",
]


@dataclass(frozen=True)
class VersionMismatch:
    """The peer speaks another protocol version."""

    step: str
    peer: str
    version: int


@dataclass(frozen=True)
class FrameTooLarge:
    """The peer announced a frame above the limit."""

    step: str
    peer: str
    size_bytes: int


@dataclass(frozen=True)
class MalformedMessage:
    """The bytes are not a frame, or the body does not fit its message class."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class UnknownKind:
    """No message class is registered under the kind."""

    step: str
    peer: str
    kind: str


FrameError = VersionMismatch | FrameTooLarge | MalformedMessage


@dataclass(frozen=True)
class HandshakeError:
    """The peer did not prove that it holds an accepted key, or broke the exchange."""

    step: str
    peer: str
    detail: str


class PeerFailure(Enum):
    """Why a request to a peer has no answer."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    LOST = "lost"
    UNHANDLED = "unhandled"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


@dataclass(frozen=True)
class PeerError:
    """A request has no answer. ``sent`` is False only where the peer cannot have seen it."""

    step: str
    peer: str
    failure: PeerFailure
    sent: bool
