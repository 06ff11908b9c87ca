"""A request in arrival on a connection of the server."""

import h11

from .body_length import named_body_length
from .message import HttpRequest

__all__ = ["IncomingRequest"]


class IncomingRequest:
    """Collects the head and the body of the next request on a connection.

    While ``needs_data`` is true, the parser needs further bytes; otherwise ``request`` is the
    complete request, or None if the connection ends without one. A body of more than
    ``max_body_bytes`` raises ``h11.RemoteProtocolError``.
    """

    def __init__(self, conn: h11.Connection, peer: str, max_body_bytes: int) -> None:
        self.needs_data = True
        self.request: HttpRequest | None = None
        self._conn = conn
        self._peer = peer
        self._max_body_bytes = max_body_bytes
        self._head: h11.Request | None = None
        self._body = bytearray()

    def parse(self, limit: int) -> bool:
        """Parse up to ``limit`` events and return whether there are more."""
        for _ in range(limit):
            event = self._conn.next_event()
            match event:
                case h11.Request():
                    self._head = event
                    self._check_size(named_body_length(event))
                case h11.Data():
                    self._body += event.data
                    self._check_size(len(self._body))
                case _:
                    self.needs_data = event is h11.NEED_DATA
                    if isinstance(event, h11.EndOfMessage) and self._head is not None:
                        self.request = self._make_request(self._head)
                    return False
        return True

    def _check_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)

    def _make_request(self, head: h11.Request) -> HttpRequest:
        headers = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers)
        target = head.target.decode("latin-1")
        return HttpRequest(head.method.decode(), target, headers, bytes(self._body), self._peer)
