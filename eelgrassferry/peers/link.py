"""TCP connection between two nodes."""

import asyncio
import secrets
import socket

from result import Err, Ok, Result

from .errors import FrameError, HandshakeError
from .frame import MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES, Frame, FrameDecoder, encode_frame
from .handshake import NONCE_BYTES, Handshake
from .identity import Identity

__all__ = ["Link"]

READ_BYTES = 64 * 1024
# Limits the memory used for a peer that stops reading; further frames are dropped.
MAX_UNSENT_BYTES = 4_000_000
# The kernel closes the connection if sent data remains unacknowledged for this long. This detects
# a host that lost power, which sends no reset.
MAX_UNACKNOWLEDGED_MS = 10_000
# At 330 links, keepalive probes on idle links use about 0.6 KB/s.
KEEPALIVE_IDLE_S = 60


class Link:
    """Connection that reads and writes frames; ``closed`` is set when it has ended."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.closed = asyncio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.peer: Identity | None = None
        self._reader = reader
        self._writer = writer
        self._decoder = FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES)
        _set_socket_options(writer)

    @property
    def remote_address(self) -> str:
        """Remote address of the connection as ``ip:port``."""
        host, port = (self._writer.get_extra_info("peername") or ("", 0))[:2]
        return f"{host}:{port}"

    async def perform_handshake(
        self, identity: Identity, keys: tuple[str, ...], *, dialing: bool
    ) -> Result[Identity, HandshakeError | FrameError]:
        """Authenticate both sides and return the identity of the peer."""
        handshake = Handshake(identity, keys, secrets.token_bytes(NONCE_BYTES), dialing=dialing)
        first = handshake.start()
        if first is not None:
            self.write(first)
        while not handshake.done:
            result = await self.read()
            if isinstance(result, Err):
                return result
            if result.ok_value is None:
                name = handshake.peer.name if handshake.peer else ""
                return Err(HandshakeError("handshake", name, "the peer closed the connection"))
            answer = handshake.receive(result.ok_value)
            if isinstance(answer, Err):
                return answer
            if answer.ok_value is not None:
                self.write(answer.ok_value)
        assert handshake.peer is not None
        self.peer = handshake.peer
        self._decoder.limit_bytes = MAX_FRAME_BYTES
        return Ok(handshake.peer)

    async def read(self) -> Result[Frame | None, FrameError]:
        """Return the next frame, or None when the connection has ended."""
        while True:
            result = self._decoder.next()
            if isinstance(result, Err) or result.ok_value is not None:
                return result
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError:
                return Ok(None)
            if not data:
                return Ok(None)
            self.bytes_received += len(data)
            self._decoder.feed(data)

    def write(self, frame: Frame) -> bool:
        """Queue a frame for sending.

        Return False if the link is closed or its send buffer is full.
        """
        return self.write_bytes(encode_frame(frame))

    def write_bytes(self, data: bytes) -> bool:
        """Queue an encoded frame for sending; see ``write``."""
        if self.closed.is_set() or self._writer.transport.is_closing():
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        self._writer.write(data)
        self.bytes_sent += len(data)
        return True

    def close(self) -> None:
        """Close the connection after sending the queued frames."""
        self.closed.set()
        self._writer.close()


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS)
