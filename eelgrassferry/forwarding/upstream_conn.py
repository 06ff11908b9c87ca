"""One connection to an upstream, which carries one request at a time."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from ..http import set_liveness_options
from .facts import AnswerHead, RawHeaders

__all__ = ["AnswerListener", "UpstreamConn"]

# Larger heads of answers than this are an error.
MAX_HEADER_BYTES = 64 * 1024


class AnswerListener(Protocol):
    """Takes the answer to one request. ``on_end`` or ``on_broken`` is the last call."""

    def on_head(self, head: AnswerHead) -> bool:
        """Take the head; return False where it belongs to another request."""

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Take the end of a complete answer."""

    def on_broken(self, detail: str) -> None:
        """Take that no complete answer will come."""


class UpstreamConn(asyncio.Protocol):
    """Speaks HTTP/1.1 to one upstream.

    An answer of another request, which an upstream may send late, is read and dropped. Bytes that
    arrive while no request is waiting close the connection.
    """

    def __init__(
        self,
        decode_head: Callable[[int, RawHeaders], AnswerHead],
        on_idle: Callable[["UpstreamConn"], None],
    ) -> None:
        self.idle_limit_s: float | None = None
        self.idle_since = 0.0
        self._decode_head = decode_head
        self._on_idle = on_idle
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._transport: asyncio.Transport | None = None
        self._listener: AnswerListener | None = None
        self._request: h11.Request | None = None
        self._closes = False
        self._foreign = False
        self._has_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness_options(transport)

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, request: h11.Request, body: bytes, listener: AnswerListener) -> None:
        """Send a request in one write. The connection must be open and idle."""
        assert self._transport is not None
        self._listener = listener
        self._request = request
        self._has_head = False
        data = self._h11.send(request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading while the caller reads slowly."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close at once; the upstream sees it and ends the run."""
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if self._listener is None:
            self.abort()
            return
        try:
            self._h11.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as exc:
            self._break(f"not an answer in HTTP: {exc}")

    def eof_received(self) -> bool:
        """Take the end of the upstream's bytes, which ends an answer that has no length."""
        if self._listener is not None:
            try:
                self._h11.receive_data(b"")
                self._advance()
            except h11.RemoteProtocolError as exc:
                self._break(f"the answer ends early: {exc}")
        if self._listener is not None:
            self._break("the upstream closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        if self._listener is not None:
            self._break(f"connection lost: {exc or 'closed'}")

    def _advance(self) -> None:
        while self._listener is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.Response():
                    head = self._decode_head(event.status_code, event.headers.raw_items())
                    self._closes = head.closes
                    self.idle_limit_s = head.idle_limit_s
                    self._has_head = True
                    self._foreign = not self._listener.on_head(head)
                case h11.Data():
                    if not self._foreign:
                        self._listener.on_body(bytes(event.data))
                case h11.EndOfMessage() if self._foreign:
                    self._skip_foreign()
                case h11.EndOfMessage():
                    self._finish()
                    return
                case h11.ConnectionClosed():
                    self._break("the upstream closed the connection")
                    return

    def _skip_foreign(self) -> None:
        """Wait for the own answer behind one that belongs to another request."""
        assert self._request is not None
        rest, closed = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or closed:
            self._break("only the answer to another request came")
            return
        self._foreign = False
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        # The request is on its way already; this only brings the new parser to the same state.
        self._h11.send(h11.Request(method=self._request.method, target="/", headers=SKIP_HEADERS))
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)

    def _finish(self) -> None:
        listener, self._listener = self._listener, None
        assert listener is not None
        assert self._transport is not None
        rest, closed = self._h11.trailing_data
        unsent = self._transport.get_write_buffer_size()
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if done and not self._closes and not rest and not closed and not unsent:
            self._h11.start_next_cycle()
            self._on_idle(self)
        else:
            self._transport.close()
        listener.on_end()

    def _break(self, detail: str) -> None:
        listener, self._listener = self._listener, None
        if self._transport is not None:
            self._transport.abort()
        if listener is not None:
            listener.on_broken(detail)


SKIP_HEADERS = [(b"host", b"skipped"), (b"content-length", b"0")]
