"""The client side of a connection to an upstream, which carries one request at a time."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from ..eventloop import current_meter
from ..http import set_liveness_options
from .facts import AnswerHead, RawHeaders

__all__ = ["AnswerListener", "UpstreamConn"]

# An answer with a larger head is treated as broken.
MAX_HEADER_BYTES = 64 * 1024
# Limits of what an upstream may send before the answer to the request in progress: bytes of an
# answer to an earlier request, and informational responses. An upstream that sends more is broken.
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 20
# A connection is closed after this many requests, which bounds the ids that it remembers.
MAX_REQUESTS = 1000


class AnswerListener(Protocol):
    """The callbacks for the answer to one request; ``on_end`` or ``on_broken`` is the last one."""

    def on_head(self, head: AnswerHead) -> bool:
        """Process the head; return False if the answer belongs to another request."""

    def on_body(self, data: bytes) -> None:
        """Process a part of the body."""

    def on_end(self) -> None:
        """Process the end of a complete answer."""

    def on_broken(self, detail: str) -> None:
        """Handle a failure before the end of the answer; ``detail`` describes it."""


class UpstreamConn(asyncio.Protocol):
    """An HTTP/1.1 connection to one upstream.

    An upstream may send the late answer to an earlier request first, which is read and dropped. The
    request id in the answer tells the two apart. So an answer without one is accepted only on a
    connection that has carried no other request, and a further attempt of a request needs a
    connection that has not carried it (``has_carried``): the answers to both attempts have its id.
    Bytes that arrive while no request is in progress close the connection. ``on_idle`` is called
    after a complete answer if the connection can be reused.
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
        self._close_after_answer = False
        self._skipping_answer = False
        self._skipped_bytes = 0
        self._informational_responses = 0
        self._request_ids: set[str] = set()
        self._has_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness_options(transport)

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def peer(self) -> str:
        """The upstream's address as ``host:port``."""
        host, port = (self._transport and self._transport.get_extra_info("peername")) or ("", 0)
        return f"{host}:{port}"

    def has_carried(self, request_id: str) -> bool:
        """Return whether an earlier attempt of a request was sent on this connection."""
        return request_id in self._request_ids

    def send(
        self, request: h11.Request, body: bytes, listener: AnswerListener, request_id: str
    ) -> None:
        """Send a request in one write.

        The connection must be open and idle, and must not have carried the request before.
        """
        assert self._transport is not None
        assert not self.has_carried(request_id)
        self._request_ids.add(request_id)
        self._listener = listener
        self._request = request
        self._has_head = False
        self._skipped_bytes = self._informational_responses = 0
        # A slow caller of the last answer may have paused the connection just before its end.
        self.resume_reading()
        data = self._h11.send(request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def pause_reading(self) -> None:
        """Pause reading, so that the answer does not outrun a slow caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, without a call to the listener.

        The upstream notices the closed connection and cancels the request.
        """
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and pass their content to the listener."""
        if self._listener is None:
            self.abort()
            return
        try:
            with current_meter().measure("upstream", self.peer):
                self._h11.receive_data(data)
                self._process_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"invalid HTTP answer: {exc}")

    def eof_received(self) -> bool:
        """Handle the upstream's end of file, which completes an answer without a length."""
        if self._listener is not None:
            try:
                self._h11.receive_data(b"")
                self._process_events()
            except h11.RemoteProtocolError as exc:
                self._fail(f"the answer is incomplete: {exc}")
        if self._listener is not None:
            self._fail("the upstream closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        if self._listener is not None:
            self._fail(f"connection lost: {exc or 'closed'}")

    def _process_events(self) -> None:
        while self._listener is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.Response():
                    head = self._decode_head(event.status_code, event.headers.raw_items())
                    if not head.request_id and len(self._request_ids) > 1:
                        self._fail("an answer without a request id may be a late one")
                        return
                    self._close_after_answer = head.closes
                    self.idle_limit_s = head.idle_limit_s
                    self._has_head = True
                    self._skipping_answer = not self._listener.on_head(head)
                case h11.InformationalResponse():
                    self._informational_responses += 1
                    if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                        self._fail("too many informational responses")
                case h11.Data() if self._skipping_answer:
                    self._skipped_bytes += len(event.data)
                    if self._skipped_bytes > MAX_SKIPPED_BYTES:
                        self._fail("the answer to another request does not end")
                case h11.Data():
                    self._listener.on_body(bytes(event.data))
                case h11.EndOfMessage() if self._skipping_answer:
                    self._restart_parser()
                case h11.EndOfMessage():
                    self._finish()
                    return
                case h11.ConnectionClosed():
                    self._fail("the upstream closed the connection")
                    return

    def _restart_parser(self) -> None:
        """Restart the parser after the skipped answer to an earlier request.

        The answer to the request in progress follows on the same connection.
        """
        assert self._request is not None
        trailing, closed = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or closed:
            self._fail("only the answer to another request was received")
            return
        self._skipping_answer = False
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        # The request has been sent already; this only brings the new parser to the same state.
        self._h11.send(
            h11.Request(method=self._request.method, target="/", headers=PLACEHOLDER_HEADERS)
        )
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)

    def _finish(self) -> None:
        listener, self._listener = self._listener, None
        assert listener is not None
        assert self._transport is not None
        trailing, closed = self._h11.trailing_data
        unsent = self._transport.get_write_buffer_size()
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        is_clean = is_done and not trailing and not closed and not unsent
        may_reuse = not self._close_after_answer and len(self._request_ids) < MAX_REQUESTS
        if is_clean and may_reuse:
            self._h11.start_next_cycle()
            # An idle connection that does not read would not notice that the upstream closes it.
            self.resume_reading()
            self._on_idle(self)
        else:
            self._transport.close()
        listener.on_end()

    def _fail(self, detail: str) -> None:
        listener, self._listener = self._listener, None
        if self._transport is not None:
            self._transport.abort()
        if listener is not None:
            listener.on_broken(detail)


# Headers of the request that only brings a restarted parser to its state; it is never sent.
PLACEHOLDER_HEADERS = [(b"host", b"skipped"), (b"content-length", b"0")]
