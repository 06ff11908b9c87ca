"""One connection between two nodes that carries compressed frames."""

import asyncio
import zlib
from collections.abc import Callable

import structlog
from result import Err

from ..http import set_liveness_options
from ..peers.frame import Frame, FrameDecoder, encode_frame

__all__ = ["PeerLink"]

log = structlog.get_logger()

# A peer that does not read costs at most this much memory; its link is closed then.
MAX_UNSENT_BYTES = 1_000_000
# Frames name the same upstreams and models again and again: a window of 8 KiB makes them 2.7 times
# smaller at 9 us each. A link's compressor takes 64 KiB, 4.5 MB for 70 nodes.
WINDOW_BITS = 13
MEMORY_LEVEL = 6
COMPRESSION_LEVEL = 3
# Received bytes are expanded in parts of this size, so that a few bytes cannot fill the memory.
EXPAND_BYTES = 256 * 1024


class PeerLink(asyncio.Protocol):
    """Reads and writes frames. ``on_frame`` and ``on_closed`` get the link and are set by its
    owner.
    """

    def __init__(
        self,
        on_frame: Callable[["PeerLink", Frame], None],
        on_closed: Callable[["PeerLink"], None],
        on_open: Callable[["PeerLink"], None] | None = None,
    ) -> None:
        self.peer = ""
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._on_open = on_open
        self._decoder = FrameDecoder()
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._expander = zlib.decompressobj(-WINDOW_BITS)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness_options(transport)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes; bytes that are no frame close the link."""
        while self.is_open:
            try:
                part = self._expander.decompress(data, EXPAND_BYTES)
            except zlib.error as exc:
                log.warning("link closed", step="expand_frames", peer=self.peer, detail=str(exc))
                self.close()
                return
            self._decoder.feed(part)
            self._take_frames()
            data = self._expander.unconsumed_tail
            # A full part may leave output behind although all input was taken.
            if not data and len(part) < EXPAND_BYTES:
                return

    def _take_frames(self) -> None:
        while True:
            got = self._decoder.next()
            if isinstance(got, Err):
                detail = repr(got.err_value)
                log.warning("link closed", step="read_frame", peer=self.peer, detail=detail)
                self.close()
                return
            if got.ok_value is None:
                return
            self._on_frame(self, got.ok_value)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the link."""
        self._on_closed(self)

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, kind: str, body: object) -> None:
        """Send a frame."""
        self.send_bytes(encode_frame(Frame(kind, body)))

    def send_bytes(self, data: bytes) -> None:
        """Send an encoded frame."""
        if not self.is_open:
            return
        assert self._transport is not None
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self._transport.write(
            self._compressor.compress(data) + self._compressor.flush(zlib.Z_SYNC_FLUSH)
        )

    def close_gently(self) -> None:
        """Close once everything was sent."""
        if self._transport is not None:
            self._transport.close()

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
