"""The server side of one caller's connection, which handles one request at a time."""

import asyncio
import re
from typing import TYPE_CHECKING, Protocol

import h11

from ..admission import Holding, HoldingState
from ..eventloop import Work
from ..http import named_body_length, peer_address, set_liveness_options
from .caller_request import CallerRequest
from .facts import RawHeaders

if TYPE_CHECKING:
    from .caller_server import CallerServer

__all__ = ["CallerConn", "CallerListener"]

# Limit of the parser; the limit that the operators configure is smaller.
MAX_HEADER_BYTES = 64 * 1024
# Number of unsent bytes above which reading from the upstream pauses.
WRITE_BUFFER_LIMIT_BYTES = 64 * 1024
# Bytes sent ahead of the request in progress above which reading from the caller pauses. Callers
# that wait for each answer send none.
MAX_AHEAD_BYTES = 16 * 1024
# Memory of a header field beside its bytes, in bytes.
FIELD_BYTES = 200
# A body below this size is kept also if the request has no route, so that most requests need no
# extra look at the routes.
SMALL_BODY_BYTES = 16 * 1024


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
        self._work = Work(
            "caller", self._parse_some, lambda: self.peer, self._on_parsed, self._on_parse_error
        )
        self._is_write_paused = False
        self._is_reading_paused = False
        self._is_cycle_due = False
        # Bodies of requests without a route are read, but not kept.
        self._drops_body = False
        self._dropped_bytes = 0
        self._expected_bytes = 0
        # Parts of the memory that is held: received bytes that are not parsed, the fields of the
        # head, a request in progress, an answer in arrival, and written bytes that are not sent.
        self._unparsed_bytes = 0
        self._head_bytes = 0
        self._request_bytes = 0
        self._answer_bytes = 0
        self._unsent_bytes = 0
        self._holding: Holding = server.budget.open(self, server.clock())

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.budget.is_open(self._holding):
            # It was turned away between its acceptance and this callback.
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT_BYTES)
        set_liveness_options(transport)
        self.idle_since = self._server.clock()
        self._server.conns.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the requests that are complete."""
        now = self._server.clock()
        if self.head_since is None and not self.answering:
            self.head_since = now
        self._h11.receive_data(data)
        self._unparsed_bytes += len(data)
        self._parse()
        self._update_holding(now)

    def eof_received(self) -> bool:
        """Close the connection: the caller has closed it, so an answer would not be received."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and notify the listener of the request in progress."""
        self._server.conns.discard(self)
        self._server.budget.close(self._holding)
        self._holding.owner = None
        self._head = None
        self._body = bytearray()
        self._work.cancel()
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_caller_gone()

    def pause_writing(self) -> None:
        """Notify the listener that the write buffer is full."""
        self._is_write_paused = True
        if self._listener is not None:
            self._listener.on_caller_slow(True)

    def resume_writing(self) -> None:
        """Notify the listener that the write buffer has drained, or take the next request."""
        self._is_write_paused = False
        if self._listener is not None:
            self._listener.on_caller_slow(False)
        self._start_next_request()
        self._update_holding(self._server.clock())

    @property
    def is_open(self) -> bool:
        """Whether an answer can be written."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def peer(self) -> str:
        """The caller's address as ``host:port``."""
        return peer_address(self._transport)

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
        self._request_bytes = self._answer_bytes = 0
        if not self.is_open:
            return
        last_part = (self._h11.send(h11.Data(data=data)) or b"") if data else b""
        end = self._h11.send(h11.EndOfMessage()) or b""
        self._write(last_part + end if end else last_part)
        self._is_cycle_due = True
        self._start_next_request()
        self._update_holding(self.idle_since)

    def _start_next_request(self) -> None:
        """Process the next request once the caller has taken the answers before it."""
        if not self._is_cycle_due or self._is_write_paused or not self.is_open:
            return
        self._is_cycle_due = False
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._parse()
        else:
            self.close()

    def hold_answer(self, size: int) -> None:
        """Count the bytes of an answer that is received completely before it is sent."""
        self._answer_bytes = size
        self._update_holding(self._holding.progress_at)

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
            if self.refresh_unsent() and not self._processing:
                self._update_holding(self._server.clock())

    def _parse(self) -> None:
        """Process received bytes, and reject those that are not an acceptable request."""
        if not self._processing:
            self._work.submit()
            self._pace_reading()

    def _parse_some(self, limit: int) -> bool:
        """Process up to ``limit`` parser events and return whether there are more."""
        if not self.is_open:
            return False
        self._processing = True
        try:
            for _ in range(limit):
                if self.answering or self._is_cycle_due:
                    return False
                if not self._handle_event(self._h11.next_event()):
                    return False
            return self.is_open
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, _describe(exc))
            return False
        finally:
            self._processing = False
            self._unparsed_bytes = len(self._h11.trailing_data[0])

    def _on_parsed(self) -> None:
        """Go on reading after received bytes have been processed in several steps."""
        if self.is_open:
            self._pace_reading()
            self._update_holding(self._server.clock())

    def _on_parse_error(self, _exc: Exception) -> None:
        self.abort()

    def _pace_reading(self) -> None:
        """Pause reading while earlier requests are in progress, and resume it afterwards."""
        is_busy = self.answering or self._is_cycle_due or self._work.is_pending
        has_part = self._unparsed_bytes or self._head is not None
        if not is_busy and has_part and self.head_since is None:
            self.head_since = self._server.clock()
        pauses = is_busy and self._unparsed_bytes > MAX_AHEAD_BYTES
        if pauses is self._is_reading_paused or not self.is_open:
            return
        assert self._transport is not None
        self._is_reading_paused = pauses
        if pauses:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    # Memory

    def refresh(self) -> None:
        """Update what is held, because the caller takes written bytes without any callback."""
        if self._unsent_bytes and self.refresh_unsent():
            self._update_holding(self._holding.progress_at)

    def unread_s(self, now: float) -> float:
        """Return for how many seconds the caller has taken nothing of a written answer."""
        return now - self._holding.progress_at if self._unsent_bytes else 0.0

    def refresh_unsent(self) -> bool:
        """Read how much of the answers the caller has not taken; return whether it has changed."""
        if self._transport is None:
            return False
        unsent = self._transport.get_write_buffer_size()
        if unsent == self._unsent_bytes:
            return False
        if unsent < self._unsent_bytes:
            self._holding.progress_at = self._server.clock()
        self._unsent_bytes = unsent
        return True

    def _update_holding(self, progress_at: float) -> None:
        """Report what is held for this connection to the budget."""
        received = len(self._body)
        held = self._unparsed_bytes + received + self._head_bytes
        held += self._request_bytes + self._answer_bytes + self._unsent_bytes
        left = 0
        if self._unsent_bytes:
            state, left = HoldingState.SENDING, self._unsent_bytes
        elif self.answering:
            state = HoldingState.RUNNING
        elif self.head_since is not None:
            state = HoldingState.RECEIVING
            expected = self._expected_bytes or self._server.limits.max_body_bytes
            left = max(0, expected - received)
        else:
            state = HoldingState.IDLE
        self._server.budget.update(self._holding, state, held, left, progress_at)
        if self._server.budget.is_over:
            self._server.relieve()

    def turn_away(self, cause: str) -> None:
        """End the connection to free what it holds; a request in arrival is refused as not run."""
        self._server.budget.close(self._holding)
        self._server.report_turned_away(self, cause)
        match self._holding.state:
            case HoldingState.IDLE:
                self.close()
            case HoldingState.RECEIVING:
                self._refuse(503)
            case _:
                # The listener of a request in progress is told by ``connection_lost``.
                assert self._transport is not None
                self._transport.abort()
        self._head = None
        self._body = bytearray()

    def _handle_event(self, event: object) -> bool:
        """Process one parser event; return whether another one may follow."""
        limits = self._server.limits
        match event:
            case h11.Request():
                self._head = event
                self._body.clear()
                size = sum(len(k) + len(v) + 4 for k, v in event.headers)
                if size > limits.max_header_bytes:
                    raise h11.RemoteProtocolError("headers too large", error_status_hint=431)
                self._head_bytes = size + FIELD_BYTES * len(event.headers)
                self._drops_body = False
                self._dropped_bytes = 0
                self._expected_bytes = named_body_length(event)
                if self._expected_bytes > limits.max_body_bytes:
                    raise h11.RemoteProtocolError("body too large", error_status_hint=413)
                if self._h11.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    self._write(self._h11.send(interim))
            case h11.Data():
                self._receive_body(event.data)
            case h11.EndOfMessage():
                self._deliver()
            case h11.ConnectionClosed():
                self.close()
                return False
            case _:
                return False
        return True

    def _receive_body(self, data: bytes) -> None:
        """Keep a part of the body, unless the request has no route and does not need it."""
        if self._drops_body:
            self._dropped_bytes += len(data)
        else:
            was_small = len(self._body) < SMALL_BODY_BYTES
            self._body += data
            if was_small and len(self._body) >= SMALL_BODY_BYTES:
                assert self._head is not None
                headers = tuple(self._head.headers.raw_items())
                self._drops_body = not self._server.needs_body(self._head.target, headers)
                if self._drops_body:
                    self._dropped_bytes = len(self._body)
                    self._body = bytearray()
        if len(self._body) + self._dropped_bytes > self._server.limits.max_body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)

    def _deliver(self) -> None:
        head, self._head = self._head, None
        assert head is not None
        # A body is copied once more while it is sent to the upstream.
        self._request_bytes = self._head_bytes + 2 * len(self._body)
        self._head_bytes = 0
        self.answering = True
        self.head_since = None
        request = CallerRequest(
            head.method, head.target, tuple(head.headers.raw_items()), bytes(self._body)
        )
        self._body = bytearray()
        self._unparsed_bytes = 0
        self._update_holding(self._server.clock())
        if not self.is_open:
            # This connection was ended to stay within the budget.
            return
        if not self._server.budget.may_run(self._holding):
            self._refuse_delivery("memory")
            return
        if self._drops_body and self._server.needs_body(request.target, request.headers):
            self._refuse_delivery("new_route")
            return
        self._listener = self._server.accept(self, request)

    def _refuse_delivery(self, cause: str) -> None:
        """Refuse a complete request that cannot be kept, or whose body has been dropped."""
        self.answering = False
        self._request_bytes = 0
        self._server.report_turned_away(self, cause)
        self._refuse(503)

    def set_listener(self, listener: CallerListener) -> None:
        """Set the listener of the current request before the server's handler returns it.

        The caller may disconnect while the handler is still running.
        """
        self._listener = listener

    def _reject(self, status: int, detail: str) -> None:
        """Answer bytes that are not an acceptable request, and close the connection."""
        self._server.report_rejected(self, status, detail)
        self._refuse(status)

    def _refuse(self, status: int) -> None:
        """Answer a request that has not run, and close the connection."""
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
