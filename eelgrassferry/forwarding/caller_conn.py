"""The server side of one caller's connection, which handles one request at a time."""

import asyncio
import re
from typing import TYPE_CHECKING, Protocol

import h11

from ..http import set_liveness_options
from .caller_request import CallerRequest
from .facts import RawHeaders

if TYPE_CHECKING:
    from .caller_server import CallerServer

__all__ = ["CallerConn", "CallerListener"]

# Limit of the parser; the limit that the operators configure is smaller.
MAX_HEADER_BYTES = 64 * 1024
# Number of unsent bytes above which reading from the upstream pauses.
WRITE_BUFFER_LIMIT_BYTES = 64 * 1024


class CallerListener(Protocol):
    """Callbacks that report the state of the caller while its request is answered."""

    def on_caller_gone(self) -> None:
        """Handle a caller that has disconnected before the end of its answer."""

    def on_caller_slow(self, slow: bool) -> None:
        """Handle a write buffer that is full (``slow`` is true) or has drained (false)."""


class CallerConn(asyncio.Protocol):
    """An HTTP/1.1 connection with one caller.

    A request is passed to the server's handler once it is complete. ``send`` sends a complete
    answer; ``start``, ``write`` and ``finish`` stream one. ``abort`` closes the connection at once,
    so that the caller cannot take a partial answer for a complete one.
    """

    def __init__(self, server: "CallerServer") -> None:
        self.idle_since = 0.0
        self.head_since: float | None = None
        self.answering = False
        self._server = server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._listener: CallerListener | None = None
        self._processing = False

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT_BYTES)
        set_liveness_options(transport)
        self.idle_since = self._server.clock()
        self._server.conns.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the requests that are complete."""
        if self.head_since is None and not self.answering:
            self.head_since = self._server.clock()
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, _describe(exc))

    def eof_received(self) -> bool:
        """Close the connection: the caller has closed it, so an answer would not be received."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and notify the listener of the request in progress."""
        self._server.conns.discard(self)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_caller_gone()

    def pause_writing(self) -> None:
        """Notify the listener that the write buffer is full."""
        if self._listener is not None:
            self._listener.on_caller_slow(True)

    def resume_writing(self) -> None:
        """Notify the listener that the write buffer has drained."""
        if self._listener is not None:
            self._listener.on_caller_slow(False)

    @property
    def is_open(self) -> bool:
        """Whether an answer can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def peer(self) -> str:
        """The caller's address as ``host:port``."""
        host, port = (self._transport and self._transport.get_extra_info("peername")) or ("", 0)
        return f"{host}:{port}"

    def close(self) -> None:
        """Close the connection after all written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    # Answers

    def is_answering(self, listener: CallerListener) -> bool:
        """Return whether the request of a listener is in progress and has no complete answer."""
        return self._listener is listener

    @property
    def can_start_answer(self) -> bool:
        """Whether the head of an answer to the current request can be sent."""
        return self.is_open and self._h11.our_state is h11.SEND_RESPONSE

    def send(self, status: int, headers: RawHeaders, body: bytes, close: bool = False) -> None:
        """Send a complete answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length], close=close)
        self.finish(body)

    def start(self, status: int, headers: RawHeaders, close: bool = False) -> None:
        """Send the head of an answer."""
        if not self.is_open:
            return
        close = close or self._server.closing
        connection_headers = [(b"Connection", b"close")] if close else []
        data = self._h11.send(
            h11.Response(status_code=status, headers=[*headers, *connection_headers])
        )
        self._write(data)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.is_open and data:
            self._write(self._h11.send(h11.Data(data=data)))

    def finish(self, data: bytes = b"") -> None:
        """Send ``data`` as the last part of the body, then process the next request.

        The connection is closed instead if no further request can follow on it.
        """
        self._listener = None
        self.answering = False
        self.idle_since = self._server.clock()
        if not self.is_open:
            return
        last_part = (self._h11.send(h11.Data(data=data)) or b"") if data else b""
        self._write(last_part + (self._h11.send(h11.EndOfMessage()) or b""))
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            try:
                self._process_events()
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint, _describe(exc))
        else:
            self.close()

    def abort(self) -> None:
        """Close the connection at once, so that the answer does not look complete."""
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    # Parsing and writing

    def _write(self, data: bytes | None) -> None:
        assert self._transport is not None
        if data:
            self._transport.write(data)

    def _process_events(self) -> None:
        if self._processing:
            return
        self._processing = True
        try:
            while not self.answering and self._handle_event(self._h11.next_event()):
                pass
        finally:
            self._processing = False

    def _handle_event(self, event: object) -> bool:
        """Process one parser event; return whether another one may follow."""
        limits = self._server.limits
        match event:
            case h11.Request():
                self._head = event
                self._body.clear()
                if sum(len(k) + len(v) + 4 for k, v in event.headers) > limits.max_header_bytes:
                    raise h11.RemoteProtocolError("headers too large", error_status_hint=431)
                if self._h11.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    self._write(self._h11.send(interim))
            case h11.Data():
                self._body += event.data
                if len(self._body) > limits.max_body_bytes:
                    raise h11.RemoteProtocolError("body too large", error_status_hint=413)
            case h11.EndOfMessage():
                self._deliver()
            case h11.ConnectionClosed():
                self.close()
                return False
            case _:
                return False
        return True

    def _deliver(self) -> None:
        head, self._head = self._head, None
        assert head is not None
        self.answering = True
        self.head_since = None
        request = CallerRequest(
            head.method, head.target, tuple(head.headers.raw_items()), bytes(self._body)
        )
        self._body = bytearray()
        self._listener = self._server.accept(self, request)

    def set_listener(self, listener: CallerListener) -> None:
        """Set the listener of the current request before the server's handler returns it.

        The caller may disconnect while the handler is still running.
        """
        self._listener = listener

    def _reject(self, status: int, detail: str) -> None:
        """Answer bytes that are not an acceptable request, and close the connection."""
        self._server.report_rejected(self, status, detail)
        if self.is_open and self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self._write(self._h11.send(h11.Response(status_code=status, headers=headers)))
        self.close()

    def time_out(self) -> None:
        """Answer an incomplete request with 408 and close the connection."""
        self._reject(408, "the request did not arrive in time")


def _describe(exc: h11.RemoteProtocolError) -> str:
    """Return the parser's message without the bytes that it quotes, which may contain a key."""
    return re.split(r"[: ]*\b(?:bytearray\()?b['\"]", str(exc), maxsplit=1)[0]
