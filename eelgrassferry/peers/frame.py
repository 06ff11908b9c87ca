"""Framing of messages on a link.

A frame consists of a 4-byte big-endian length and a msgpack map. The map contains the protocol
version ``v``, the message kind ``k`` and the body ``b``. A request adds its id as ``q``; an answer
adds the id of its request as ``a``.
"""

import struct
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from .errors import FrameError, FrameTooLarge, MalformedMessage, VersionMismatch

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_HANDSHAKE_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Frame",
    "FrameDecoder",
    "encode_frame",
]

PROTOCOL_VERSION = 1
# A configuration record of up to 1 MB is sent in a single frame.
MAX_FRAME_BYTES = 1_200_000
# Limits the memory that a peer can use on this node before it is authenticated.
MAX_HANDSHAKE_FRAME_BYTES = 4096

HEADER = struct.Struct(">I")


@dataclass(frozen=True)
class Frame:
    """A message on a link.

    ``request_id`` is 0 unless the frame is a request, ``answer_to`` is 0 unless it is an answer.
    """

    kind: str
    body: Any
    request_id: int = 0
    answer_to: int = 0


def encode_frame(frame: Frame) -> bytes:
    """Return the length-prefixed encoding of a frame."""
    fields = {"v": PROTOCOL_VERSION, "k": frame.kind, "b": frame.body}
    if frame.request_id:
        fields["q"] = frame.request_id
    if frame.answer_to:
        fields["a"] = frame.answer_to
    payload = msgpack.packb(fields)
    return HEADER.pack(len(payload)) + payload


class FrameDecoder:
    """Incremental decoder that splits a byte stream into frames.

    ``feed`` appends received bytes and ``next`` returns the next frame, or None if more bytes are
    needed. After an error the position in the stream is undefined and the link must be closed.
    """

    def __init__(self, limit_bytes: int = MAX_FRAME_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that belong to no complete frame yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next(self) -> Result[Frame | None, FrameError]:
        """Return the next frame, None if it is not complete yet, or the error."""
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
    # msgpack raises its own exceptions, ValueError and, for unhashable keys, TypeError. The
    # pure-Python codec raises RecursionError for deep nesting.
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        return Err(MalformedMessage("read_frame", "", f"not msgpack: {type(exc).__name__}"))
    if not isinstance(fields, dict) or type(fields.get("v")) is not int:
        return Err(MalformedMessage("read_frame", "", "not a map with an integer protocol version"))
    if fields["v"] != PROTOCOL_VERSION:
        return Err(VersionMismatch("read_frame", "", fields["v"]))
    kind, req_id, answer = fields.get("k"), fields.get("q", 0), fields.get("a", 0)
    if type(kind) is not str or type(req_id) is not int or type(answer) is not int:
        return Err(
            MalformedMessage("read_frame", "", "kind is not a string or an id is not an integer")
        )
    return Ok(Frame(kind, fields.get("b"), req_id, answer))
