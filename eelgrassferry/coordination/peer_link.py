"""One connection between two nodes that carries frames."""

import asyncio
from collections.abc import Callable

from result import Err

from ..http import set_liveness_options
from ..peers.frame import Frame, FrameDecoder, encode_frame

__all__ = ["PeerLink"]

# A peer that does not read costs at most this much memory; its link is closed then.
MAX_UNSENT_BYTES = 1_000_000


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
        self._decoder.feed(data)
        while True:
            got = self._decoder.next()
            if isinstance(got, Err):
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
        self._transport.write(data)

    def close_gently(self) -> None:
        """Close once everything was sent."""
        if self._transport is not None:
            self._transport.close()

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
