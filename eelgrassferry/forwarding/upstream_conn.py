"""The client side of a connection to an upstream, which carries one request at a time."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from ..eventloop import Work
from ..http import (
    MAX_STATUS,
    SENT_CHECK_INTERVAL_S,
    SentCheck,
    ends_with_connection,
    peer_address,
    set_liveness_options,
)
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
# Parser events that the end of file may cause: the end of the answer, or of one that is skipped.
MAX_EVENTS_AT_END = 8


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
        self._is_held = False
        self._lost_detail = ""
        self._ends_with_connection = False
        self._work = Work(
            "upstream", self._parse, lambda: self.peer, self._on_parsed, self._on_parse_error
        )

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
        return peer_address(self._transport)

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
        self._skipped_bytes = self._informational_responses = 0
        self._ends_with_connection = False
        # A slow caller of the last answer may have paused the connection just before its end.
        self.resume_reading()
        data = self._h11.send(request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def pause_reading(self) -> None:
        """Pause reading, so that the answer does not outrun a slow caller."""
        self._is_held = True
        self._pace_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._is_held = False
        self._pace_reading()

    def _pace_reading(self) -> None:
        """Pause reading while the caller is slow or received bytes have to be parsed."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_held or self._work.is_pending:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, without a call to the listener.

        The upstream notices the closed connection and cancels the request.
        """
        self._listener = None
        self._work.cancel()
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
        self._h11.receive_data(data)
        self._work.submit()
        if self._work.is_pending:
            self._pace_reading()

    def eof_received(self) -> bool:
        """Handle the upstream's end of file, which completes an answer without a length."""
        # All bytes before it have been parsed, because the connection does not read meanwhile.
        assert self._transport is not None
        if self._listener is not None and self._ends_with_connection:
            check = SentCheck(self._transport)
            if not check.is_sent:
                self._check_later(check)
                return True
        self._handle_end()
        return False

    def _check_later(self, check: SentCheck) -> None:
        asyncio.get_running_loop().call_later(SENT_CHECK_INTERVAL_S, self._check_sent, check)

    def _check_sent(self, check: SentCheck) -> None:
        """End an answer without a length once the upstream has taken the whole request.

        The answer is not whole if the connection is reset before that.
        """
        if self._listener is None:
            return
        if failure := check.find_failure():
            self._fail(failure)
        elif check.is_sent:
            self._handle_end()
            self.close()
        else:
            self._check_later(check)

    def _handle_end(self) -> None:
        if self._listener is not None:
            self._h11.receive_data(b"")
            self._parse(MAX_EVENTS_AT_END)
        if self._listener is not None:
            self._fail("the upstream closed the connection")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, unless its answer has arrived completely."""
        self._lost_detail = f"connection lost: {exc or 'closed'}"
        if not self._work.is_pending:
            self._on_parsed()

    def _on_parsed(self) -> None:
        """Go on reading, or fail the request in progress if the connection has been lost."""
        self._pace_reading()
        if self._lost_detail and self._listener is not None:
            self._fail(self._lost_detail)

    def _on_parse_error(self, exc: Exception) -> None:
        self._fail(f"the answer was not processed: {type(exc).__name__}")

    def _parse(self, limit: int) -> bool:
        """Parse up to ``limit`` events and return whether there are more.

        Parts of a body that arrive together are passed on together: chunks may be as small as one
        byte.
        """
        parts: list[bytes] = []
        try:
            for _ in range(limit):
                event = self._h11.next_event()
                if isinstance(event, h11.Data) and not self._skipping_answer:
                    parts.append(bytes(event.data))
                    continue
                self._pass_on(parts)
                if self._listener is None or not self._handle_event(event):
                    return False
            self._pass_on(parts)
            return self._listener is not None
        except h11.RemoteProtocolError as exc:
            self._pass_on(parts)
            self._fail(f"invalid HTTP answer: {exc}")
            return False

    def _pass_on(self, parts: list[bytes]) -> None:
        """Pass parts of the body to the listener."""
        if parts and self._listener is not None:
            self._listener.on_body(b"".join(parts))
        parts.clear()

    def _handle_event(self, event: object) -> bool:
        """Handle an event other than a part of the body; return whether another may follow."""
        assert self._listener is not None
        match event:
            case h11.Response() if event.status_code > MAX_STATUS:
                self._fail(f"invalid HTTP answer: status {event.status_code}")
            case h11.Response():
                self._ends_with_connection = ends_with_connection(event)
                head = self._decode_head(event.status_code, event.headers.raw_items())
                if not head.request_id and len(self._request_ids) > 1:
                    self._fail("an answer without a request id may be a late one")
                    return False
                self._close_after_answer = head.closes
                self.idle_limit_s = head.idle_limit_s
                self._skipping_answer = not self._listener.on_head(head)
            case h11.InformationalResponse():
                self._informational_responses += 1
                if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                    self._fail("too many informational responses")
            case h11.Data():
                self._skipped_bytes += len(event.data)
                if self._skipped_bytes > MAX_SKIPPED_BYTES:
                    self._fail("the answer to another request does not end")
            case h11.EndOfMessage() if self._skipping_answer:
                self._restart_parser()
            case h11.EndOfMessage():
                self._finish()
            case h11.ConnectionClosed():
                self._fail("the upstream closed the connection")
            case _:
                return False
        return self._listener is not None

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
