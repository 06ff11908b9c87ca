"""Errors of links between peers."""

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
    """The peer uses a different protocol version."""

    step: str
    peer: str
    version: int


@dataclass(frozen=True)
class FrameTooLarge:
    """The peer announced a frame larger than the limit."""

    step: str
    peer: str
    size_bytes: int


@dataclass(frozen=True)
class MalformedMessage:
    """The received bytes are not a frame, or the body does not match its message class."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class UnknownKind:
    """No message class is registered for the kind."""

    step: str
    peer: str
    kind: str


FrameError = VersionMismatch | FrameTooLarge | MalformedMessage


@dataclass(frozen=True)
class HandshakeError:
    """The peer did not prove possession of an accepted key or violated the handshake protocol."""

    step: str
    peer: str
    detail: str


class PeerFailure(Enum):
    """Reason why a request to a peer has no answer."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    LOST = "lost"
    UNHANDLED = "unhandled"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


@dataclass(frozen=True)
class PeerError:
    """A request to a peer failed.

    ``sent`` is False only if the peer cannot have received the request.
    """

    step: str
    peer: str
    failure: PeerFailure
    sent: bool
