"""The server that accepts callers' connections."""

import asyncio
from collections.abc import Callable

from ..fleet import CallerLimits
from .caller_conn import CallerConn, CallerListener
from .caller_request import CallerRequest

__all__ = ["CallerServer"]

BACKLOG = 512
# Added to the idle limit before the server closes a connection, in seconds. Callers reuse a
# connection only up to four fifths of the limit; the addition covers differences between clocks and
# packets in transit.
IDLE_GRACE_S = 1.0


class CallerServer:
    """Accepts callers' connections and passes each complete request to ``handler``.

    ``handler`` returns the request's listener, or None if it has answered the request already.
    ``on_rejected`` is called with the caller's address, the status and a detail for bytes that are
    not an acceptable request. While ``closing`` is set, each answer closes its connection, so that
    callers connect to other nodes.
    """

    def __init__(
        self,
        handler: Callable[[CallerConn, CallerRequest], CallerListener | None],
        on_rejected: Callable[[str, int, str], None],
        clock: Callable[[], float],
    ) -> None:
        self.limits = CallerLimits()
        self.closing = False
        self.conns: set[CallerConn] = set()
        self.clock = clock
        self._handler = handler
        self._on_rejected = on_rejected
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind the address and start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConn(self), host, port, backlog=BACKLOG
        )

    def accept(self, conn: CallerConn, request: CallerRequest) -> CallerListener | None:
        """Pass a complete request to the handler and return its listener."""
        return self._handler(conn, request)

    def report_rejected(self, conn: CallerConn, status: int, detail: str) -> None:
        """Report bytes that are not an acceptable request."""
        self._on_rejected(conn.peer, status, detail)

    def sweep(self) -> None:
        """Close connections that exceed the idle limit or the time to send a request."""
        now = self.clock()
        for conn in list(self.conns):
            if conn.answering:
                continue
            if conn.head_since is not None:
                if now - conn.head_since > self.limits.header_timeout_s:
                    conn.time_out()
            elif now - conn.idle_since > self.limits.idle_timeout_s + IDLE_GRACE_S:
                conn.close()

    def close_idle(self) -> None:
        """Close connections on which no request is being received or answered."""
        for conn in list(self.conns):
            if not conn.answering and conn.head_since is None:
                conn.close()

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()
