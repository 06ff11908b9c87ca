"""One caller's connection: reads requests one after the other and writes their answers."""

import asyncio
from typing import TYPE_CHECKING, Protocol

import h11

from ..http import set_liveness_options
from .caller_request import CallerRequest
from .facts import RawHeaders

if TYPE_CHECKING:
    from .caller_server import CallerServer

__all__ = ["CallerConn", "RequestHolder"]

# Largest head that is parsed at all; the operators' limit is smaller.
MAX_HEADER_BYTES = 64 * 1024
# Unsent bytes above which the upstream is not read any further.
WRITE_HIGH_BYTES = 64 * 1024


class RequestHolder(Protocol):
    """What answers a request; told when the caller goes away or reads slowly."""

    def on_caller_gone(self) -> None:
        """Take that nobody waits for the answer any more."""

    def on_caller_slow(self, slow: bool) -> None:
        """Take that the caller reads slowly, or does not any more."""


class CallerConn(asyncio.Protocol):
    """Speaks HTTP/1.1 with one caller.

    A request is handed over when it is complete. Its answer is sent whole by ``send``, or by
    ``start``, ``write`` and ``finish``; ``abort`` ends an answer so that it cannot look complete.
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
        self._holder: RequestHolder | None = None
        self._advancing = False

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        set_liveness_options(transport)
        self.idle_since = self._server.clock()
        self._server.conns.add(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
        if self.head_since is None and not self.answering:
            self.head_since = self._server.clock()
        try:
            self._h11.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, str(exc))

    def eof_received(self) -> bool:
        """Take that the caller has closed; an answer would reach nobody."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self._server.conns.discard(self)
        holder, self._holder = self._holder, None
        if holder is not None:
            holder.on_caller_gone()

    def pause_writing(self) -> None:
        """Take that the caller reads slowly."""
        if self._holder is not None:
            self._holder.on_caller_slow(True)

    def resume_writing(self) -> None:
        """Take that the caller reads again."""
        if self._holder is not None:
            self._holder.on_caller_slow(False)

    @property
    def is_open(self) -> bool:
        """Whether an answer can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def peer(self) -> str:
        """The caller's address."""
        host, port = (self._transport and self._transport.get_extra_info("peername")) or ("", 0)
        return f"{host}:{port}"

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    # Answers

    def send(self, status: int, headers: RawHeaders, body: bytes, close: bool = False) -> None:
        """Send a whole answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length], close=close)
        self.finish(body)

    def start(self, status: int, headers: RawHeaders, close: bool = False) -> None:
        """Send the head of an answer."""
        if not self.is_open:
            return
        close = close or self._server.closing
        extra = [(b"Connection", b"close")] if close else []
        data = self._h11.send(h11.Response(status_code=status, headers=[*headers, *extra]))
        self._write(data)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.is_open and data:
            self._write(self._h11.send(h11.Data(data=data)))

    def finish(self, data: bytes = b"") -> None:
        """End the answer, after a last part of the body, and go on with the next request."""
        self._holder = None
        self.answering = False
        self.idle_since = self._server.clock()
        if not self.is_open:
            return
        last = (self._h11.send(h11.Data(data=data)) or b"") if data else b""
        self._write(last + (self._h11.send(h11.EndOfMessage()) or b""))
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            try:
                self._advance()
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint, str(exc))
        else:
            self.close()

    def abort(self) -> None:
        """Close so that the answer does not look complete."""
        self._holder = None
        if self._transport is not None:
            self._transport.abort()

    # Steps

    def _write(self, data: bytes | None) -> None:
        assert self._transport is not None
        if data:
            self._transport.write(data)

    def _advance(self) -> None:
        if self._advancing:
            return
        self._advancing = True
        try:
            while not self.answering and self._take(self._h11.next_event()):
                pass
        finally:
            self._advancing = False

    def _take(self, event: object) -> bool:
        """Take one event; return whether there may be another."""
        limits = self._server.limits
        match event:
            case h11.Request():
                self._head = event
                self._body.clear()
                if sum(len(k) + len(v) + 4 for k, v in event.headers) > limits.max_header_bytes:
                    raise h11.RemoteProtocolError("headers too large", error_status_hint=431)
                if self._h11.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self._write(self._h11.send(go_on))
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
        self._holder = self._server.accept(self, request)

    def hold(self, holder: RequestHolder) -> None:
        """Set who is told when the caller goes away before ``accept`` has returned."""
        self._holder = holder

    def _reject(self, status: int, detail: str) -> None:
        """Answer bytes that are no request, and close."""
        self._server.note_rejected(self, status, detail)
        if self.is_open and self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self._write(self._h11.send(h11.Response(status_code=status, headers=headers)))
        self.close()

    def time_out(self) -> None:
        """Answer a request that did not arrive in time, and close."""
        self._reject(408, "the request did not arrive in time")
