"""One TCP connection between two nodes."""

import asyncio
import secrets
import socket

from result import Err, Ok, Result

from .errors import FrameError, HandshakeError
from .frame import HANDSHAKE_FRAME_BYTES, MAX_FRAME_BYTES, Frame, FrameDecoder, encode_frame
from .handshake import NONCE_BYTES, Handshake
from .identity import Identity

__all__ = ["Link"]

READ_BYTES = 64 * 1024
# A peer that stops reading costs at most this much memory; further frames are dropped.
MAX_UNSENT_BYTES = 4_000_000
# Unacknowledged data closes the link after this time: a host that lost power sends no reset.
UNACKNOWLEDGED_LIMIT_MS = 10_000
# At 330 links, probes on idle links cost about 0.6 KB/s.
KEEPALIVE_IDLE_S = 60


class Link:
    """Reads and writes frames; ``closed`` is set when the connection has ended."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.closed = asyncio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.peer: Identity | None = None
        self._reader = reader
        self._writer = writer
        self._decoder = FrameDecoder(HANDSHAKE_FRAME_BYTES)
        _set_socket_options(writer)

    @property
    def remote(self) -> str:
        """The address of the other end as the kernel reports it."""
        host, port = (self._writer.get_extra_info("peername") or ("", 0))[:2]
        return f"{host}:{port}"

    async def shake_hands(
        self, identity: Identity, keys: tuple[str, ...], *, dialing: bool
    ) -> Result[Identity, HandshakeError | FrameError]:
        """Run the mutual challenge and return the peer's identity."""
        shake = Handshake(identity, keys, secrets.token_bytes(NONCE_BYTES), dialing=dialing)
        first = shake.start()
        if first is not None:
            self.write(first)
        while not shake.done:
            got = await self.read()
            if isinstance(got, Err):
                return got
            if got.ok_value is None:
                name = shake.peer.name if shake.peer else ""
                return Err(HandshakeError("handshake", name, "the peer closed the link"))
            answer = shake.receive(got.ok_value)
            if isinstance(answer, Err):
                return answer
            if answer.ok_value is not None:
                self.write(answer.ok_value)
        assert shake.peer is not None
        self.peer = shake.peer
        self._decoder.limit_bytes = MAX_FRAME_BYTES
        return Ok(shake.peer)

    async def read(self) -> Result[Frame | None, FrameError]:
        """Return the next frame, None at the end of the connection."""
        while True:
            got = self._decoder.next()
            if isinstance(got, Err) or got.ok_value is not None:
                return got
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError:
                return Ok(None)
            if not data:
                return Ok(None)
            self.bytes_received += len(data)
            self._decoder.feed(data)

    def write(self, frame: Frame) -> bool:
        """Queue a frame; return False where the link is closed or the peer does not read."""
        return self.write_bytes(encode_frame(frame))

    def write_bytes(self, data: bytes) -> bool:
        """Queue an encoded frame, as ``write``."""
        if self.closed.is_set() or self._writer.transport.is_closing():
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        self._writer.write(data)
        self.bytes_sent += len(data)
        return True

    def close(self) -> None:
        """Close the connection; frames queued so far are still sent."""
        self.closed.set()
        self._writer.close()


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
