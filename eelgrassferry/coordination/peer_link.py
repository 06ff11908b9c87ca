"""A connection between two nodes that carries compressed frames."""

import asyncio
import zlib
from collections.abc import Callable

import structlog
from result import Err

from ..eventloop import Work
from ..http import set_liveness_options
from ..peers.frame import Frame, FrameDecoder, encode_frame

__all__ = ["PeerLink"]

log = structlog.get_logger()

# The link to a peer that does not read is closed when more than this is buffered, which bounds the
# memory of a link.
MAX_UNSENT_BYTES = 1_000_000
# Frames repeat the names of upstreams and models: a window of 8 KiB makes them 2.7 times smaller at
# 9 us per frame. The compressor of a link takes 64 KiB, which is 4.5 MB for 70 nodes.
WINDOW_BITS = 13
MEMORY_LEVEL = 6
COMPRESSION_LEVEL = 3
# Received data is decompressed in parts of this size, so that a small amount of malicious input
# cannot exhaust the memory.
DECOMPRESS_BYTES = 256 * 1024


class PeerLink(asyncio.Protocol):
    """Protocol that sends and receives frames over one connection.

    The callbacks receive the link itself: ``on_frame`` is called for each received frame,
    ``on_closed`` after the connection has ended, ``on_open`` after it was made, and
    ``on_received`` after each part of received data. ``peer`` is the name of the other node once
    its owner has set it, "" before.
    """

    def __init__(
        self,
        on_frame: Callable[["PeerLink", Frame], None],
        on_closed: Callable[["PeerLink"], None],
        on_open: Callable[["PeerLink"], None] | None = None,
        on_received: Callable[["PeerLink"], None] | None = None,
    ) -> None:
        self.peer = ""
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._on_open = on_open
        self._on_received = on_received
        self._decoder = FrameDecoder()
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(-WINDOW_BITS)
        self._transport: asyncio.Transport | None = None
        # Received bytes that are not decompressed, and whether further output of them may follow.
        self._compressed = b""
        self._may_have_output = False
        self._work = Work(
            "peer",
            self._decode_frames,
            lambda: self.peer,
            self._on_decoded,
            lambda _exc: self.close(),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and call ``on_open``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness_options(transport)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decompress and decode received bytes; close the link if they are malformed."""
        self._compressed += data
        self._may_have_output = True
        self._work.submit()
        if self._work.is_pending and self.is_open:
            assert self._transport is not None
            self._transport.pause_reading()

    def _on_decoded(self) -> None:
        if self.is_open:
            assert self._transport is not None
            self._transport.resume_reading()

    def _decode_frames(self, limit: int) -> bool:
        """Decode up to ``limit`` frames or parts of data and return whether there are more."""
        for _ in range(limit):
            if not self.is_open:
                return False
            decoded = self._decoder.next()
            if isinstance(decoded, Err):
                detail = repr(decoded.err_value)
                log.warning("link closed", step="read_frame", peer=self.peer, detail=detail)
                self.close()
                return False
            if decoded.ok_value is not None:
                self._on_frame(self, decoded.ok_value)
                continue
            if self._on_received is not None:
                self._on_received(self)
            if not self._may_have_output or not self._decompress_part():
                return False
            if self._may_have_output:
                # A part of full size is enough for a step.
                break
        return self.is_open

    def _decompress_part(self) -> bool:
        """Decompress the next part of the received bytes; return False if the link is closed."""
        if not self.is_open:
            return False
        try:
            part = self._decompressor.decompress(self._compressed, DECOMPRESS_BYTES)
        except zlib.error as exc:
            log.warning("link closed", step="expand_frames", peer=self.peer, detail=str(exc))
            self.close()
            return False
        self._compressed = self._decompressor.unconsumed_tail
        # After a part of full size, output may be pending although all input was consumed.
        self._may_have_output = bool(self._compressed) or len(part) == DECOMPRESS_BYTES
        self._decoder.feed(part)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Call ``on_closed``."""
        self._on_closed(self)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of a frame that has not been received completely."""
        return self._decoder.buffered_bytes

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, kind: str, body: object) -> None:
        """Encode and send a frame."""
        self.send_bytes(encode_frame(Frame(kind, body)))

    def send_bytes(self, data: bytes) -> None:
        """Send an encoded frame.

        The frame is dropped if the link is closed, or if too much data is unsent already, which
        closes the link.
        """
        if not self.is_open:
            return
        assert self._transport is not None
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self._transport.write(
            self._compressor.compress(data) + self._compressor.flush(zlib.Z_SYNC_FLUSH)
        )

    def close_after_flush(self) -> None:
        """Close the link after all buffered data was sent."""
        if self._transport is not None:
            self._transport.close()

    def close(self) -> None:
        """Close the link at once and drop buffered data."""
        if self._transport is not None:
            self._transport.abort()
            self._decoder = FrameDecoder()
