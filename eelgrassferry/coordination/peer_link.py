"""A connection between two nodes that carries compressed frames."""

import asyncio
import zlib
from collections.abc import Callable

import structlog
from result import Err

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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and call ``on_open``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness_options(transport)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decompress and decode received bytes; close the link if they are malformed."""
        while self.is_open:
            try:
                part = self._decompressor.decompress(data, DECOMPRESS_BYTES)
            except zlib.error as exc:
                log.warning("link closed", step="expand_frames", peer=self.peer, detail=str(exc))
                self.close()
                return
            self._decoder.feed(part)
            self._decode_frames()
            if self._on_received is not None:
                self._on_received(self)
            data = self._decompressor.unconsumed_tail
            # After a part of full size, output may be pending although all input was consumed.
            if not data and len(part) < DECOMPRESS_BYTES:
                return

    def _decode_frames(self) -> None:
        while True:
            decoded = self._decoder.next()
            if isinstance(decoded, Err):
                detail = repr(decoded.err_value)
                log.warning("link closed", step="read_frame", peer=self.peer, detail=detail)
                self.close()
                return
            if decoded.ok_value is None:
                return
            self._on_frame(self, decoded.ok_value)

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
