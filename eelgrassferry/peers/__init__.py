"""Links between nodes, membership and gossip."""

from .errors import (
    FrameTooLarge,
    HandshakeError,
    MalformedMessage,
    PeerError,
    PeerFailure,
    UnknownKind,
    VersionMismatch,
)
from .identity import Identity
from .mesh import PeerMesh
from .message import Message, decode_message, encode_message, message

__all__ = [
    "FrameTooLarge",
    "HandshakeError",
    "Identity",
    "MalformedMessage",
    "Message",
    "PeerError",
    "PeerFailure",
    "PeerMesh",
    "UnknownKind",
    "VersionMismatch",
    "decode_message",
    "encode_message",
    "message",
]
