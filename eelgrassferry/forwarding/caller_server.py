"""Listens for callers."""

import asyncio
from collections.abc import Callable

from ..fleet import CallerLimits
from .caller_conn import CallerConn, RequestHolder
from .caller_request import CallerRequest

__all__ = ["CallerServer"]

BACKLOG = 512
# Callers reuse connections up to four fifths of the idle limit, so one that has been idle for
# longer than the limit is not used any more; the rest covers clocks and packets under way.
IDLE_MARGIN_S = 1.0


class CallerServer:
    """Accepts callers and hands each complete request to ``handler``.

    While ``closing`` is set, each answer ends its connection, so that callers come elsewhere.
    """

    def __init__(
        self,
        handler: Callable[[CallerConn, CallerRequest], RequestHolder | None],
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
        """Bind and accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConn(self), host, port, backlog=BACKLOG
        )

    def accept(self, conn: CallerConn, request: CallerRequest) -> RequestHolder | None:
        """Hand over a complete request."""
        return self._handler(conn, request)

    def note_rejected(self, conn: CallerConn, status: int, detail: str) -> None:
        """Take that bytes were no acceptable request."""
        self._on_rejected(conn.peer, status, detail)

    def sweep(self) -> None:
        """Close connections that are idle or slow beyond the limits."""
        now = self.clock()
        for conn in list(self.conns):
            if conn.answering:
                continue
            if conn.head_since is not None:
                if now - conn.head_since > self.limits.header_timeout_s:
                    conn.time_out()
            elif now - conn.idle_since > self.limits.idle_timeout_s + IDLE_MARGIN_S:
                conn.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for conn in list(self.conns):
            if not conn.answering and conn.head_since is None:
                conn.close()

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()
