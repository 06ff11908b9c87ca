"""Frames of a link: a 4-byte big-endian length and a msgpack map.

The map holds the protocol version ``v``, the kind ``k`` and the body ``b``; a request adds its id
as ``q`` and an answer the id of its request as ``a``.
"""

import struct
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from .errors import FrameError, FrameTooLarge, MalformedMessage, VersionMismatch

__all__ = [
    "HANDSHAKE_FRAME_BYTES",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Frame",
    "FrameDecoder",
    "encode_frame",
]

PROTOCOL_VERSION = 1
# A configuration record is one object of up to 1 MB and travels in one frame.
MAX_FRAME_BYTES = 1_200_000
# Before a peer has proved itself, it cannot make this node hold more than this.
HANDSHAKE_FRAME_BYTES = 4096

HEADER = struct.Struct(">I")


@dataclass(frozen=True)
class Frame:
    """One frame. ``request_id`` and ``answer_to`` are 0 where they do not apply."""

    kind: str
    body: Any
    request_id: int = 0
    answer_to: int = 0


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame with its length."""
    fields = {"v": PROTOCOL_VERSION, "k": frame.kind, "b": frame.body}
    if frame.request_id:
        fields["q"] = frame.request_id
    if frame.answer_to:
        fields["a"] = frame.answer_to
    payload = msgpack.packb(fields)
    return HEADER.pack(len(payload)) + payload


class FrameDecoder:
    """Cuts a stream of bytes into frames.

    ``feed`` adds bytes; ``next`` returns the next frame, or None until more bytes arrive. After
    an error the stream has no defined position and the link has to be closed.
    """

    def __init__(self, limit_bytes: int = MAX_FRAME_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next(self) -> Result[Frame | None, FrameError]:
        """Return the next complete frame, None where it is incomplete, or the error."""
        if len(self._buffer) < HEADER.size:
            return Ok(None)
        (size,) = HEADER.unpack_from(self._buffer)
        if size > self.limit_bytes:
            return Err(FrameTooLarge("read_frame", "", size))
        end = HEADER.size + size
        if len(self._buffer) < end:
            return Ok(None)
        payload = bytes(self._buffer[HEADER.size : end])
        del self._buffer[:end]
        return _parse(payload)


def _parse(payload: bytes) -> Result[Frame, FrameError]:
    try:
        fields = msgpack.unpackb(payload)
    # msgpack raises its own classes, ValueError, TypeError for unhashable keys, and the pure
    # Python codec RecursionError for deep nesting.
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        return Err(MalformedMessage("read_frame", "", f"not msgpack: {type(exc).__name__}"))
    if not isinstance(fields, dict) or type(fields.get("v")) is not int:
        return Err(MalformedMessage("read_frame", "", "not a map with a protocol version"))
    if fields["v"] != PROTOCOL_VERSION:
        return Err(VersionMismatch("read_frame", "", fields["v"]))
    kind, req_id, answer = fields.get("k"), fields.get("q", 0), fields.get("a", 0)
    if type(kind) is not str or type(req_id) is not int or type(answer) is not int:
        return Err(MalformedMessage("read_frame", "", "wrong types of kind or ids"))
    return Ok(Frame(kind, fields.get("b"), req_id, answer))
