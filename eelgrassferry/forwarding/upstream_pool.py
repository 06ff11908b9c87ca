"""Connections to upstreams that are kept for the next request."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from ..http import HttpError, split_address
from .facts import AnswerHead, RawHeaders
from .upstream_conn import UpstreamConn

__all__ = ["UpstreamPool"]

# A connection is not reused when it has been idle for this share of the time that the upstream
# announces, which is in whole seconds and so may be up to a second less than stated.
IDLE_SHARE = 0.6
# Where an upstream announces no time, it may close an idle connection within a second.
UNKNOWN_IDLE_S = 0.4
# An upstream accepts a bounded number of connections from all nodes together, 100 at the smallest
# of the present sites with 7 nodes; half of them are left for requests in flight.
MAX_IDLE_PER_UPSTREAM = 7
# An upstream accepts within a few ms; one lost packet on a lossy link is sent again after a second.
CONNECT_TIMEOUT_S = 0.4


class UpstreamPool:
    """Opens and keeps connections by upstream incarnation and address."""

    def __init__(
        self,
        decode_head: Callable[[int, RawHeaders], AnswerHead],
        clock: Callable[[], float],
    ) -> None:
        self._decode_head = decode_head
        self._clock = clock
        self._idle: dict[str, list[UpstreamConn]] = {}

    def take_idle(self, key: str) -> UpstreamConn | None:
        """Return a kept connection that is fresh enough, or None."""
        idle = self._idle.get(key, [])
        while idle:
            conn = idle.pop()
            if conn.is_open and self._is_fresh(conn):
                return conn
            conn.close()
        return None

    async def connect(self, key: str, address: str) -> Result[UpstreamConn, HttpError]:
        """Open a connection. The error's step is ``refused`` where nothing listens."""
        conn = UpstreamConn(self._decode_head, lambda idle: self._keep(key, idle))
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: conn, *split_address(address))
        except (OSError, ValueError) as exc:
            conn.abort()
            detail = str(exc) or type(exc).__name__
            step = "refused" if isinstance(exc, ConnectionRefusedError) else "connect"
            return Err(HttpError(step, address, False, detail))
        return Ok(conn)

    def forget(self, key: str) -> None:
        """Close the kept connections to an upstream that is gone."""
        for conn in self._idle.pop(key, []):
            conn.close()

    def sweep(self) -> None:
        """Close connections that have been idle too long to be used again."""
        for idle in self._idle.values():
            for conn in [conn for conn in idle if not conn.is_open or not self._is_fresh(conn)]:
                idle.remove(conn)
                conn.close()

    def _keep(self, key: str, conn: UpstreamConn) -> None:
        idle = self._idle.setdefault(key, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM:
            conn.close()
            return
        conn.idle_since = self._clock()
        idle.append(conn)

    def _is_fresh(self, conn: UpstreamConn) -> bool:
        limit_s = conn.idle_limit_s
        usable_s = UNKNOWN_IDLE_S if limit_s is None else IDLE_SHARE * limit_s
        return self._clock() - conn.idle_since < usable_s
