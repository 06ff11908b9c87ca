"""The pool of persistent connections to upstreams."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from ..http import HttpError, split_address
from .facts import AnswerHead, RawHeaders
from .upstream_conn import UpstreamConn

__all__ = ["UpstreamPool"]

# Share of an upstream's announced idle timeout for which an idle connection is reused. The timeout
# is announced in whole seconds, so the actual one may be up to 1 s shorter.
IDLE_REUSE_RATIO = 0.6
# Idle time in seconds for which a connection is reused if the upstream announces no timeout; it may
# then close an idle connection within 1 s.
DEFAULT_IDLE_S = 0.4
# An upstream limits the connections from all nodes together, to 100 at the smallest site, which has
# 7 nodes. Half of the connections are reserved for requests in flight; 7 nodes share the rest.
MAX_IDLE_PER_UPSTREAM = 7
# Connect timeout in seconds. An upstream accepts a connection within a few ms; on a lossy link, a
# lost packet is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 0.4


class UpstreamPool:
    """Opens connections to upstreams and keeps idle ones for reuse, by instance id.

    ``decode_head`` decodes the status and headers of an answer.
    """

    def __init__(
        self,
        decode_head: Callable[[int, RawHeaders], AnswerHead],
        clock: Callable[[], float],
    ) -> None:
        self._decode_head = decode_head
        self._clock = clock
        self._idle: dict[str, list[UpstreamConn]] = {}

    def take_idle(self, instance: str, request_id: str) -> UpstreamConn | None:
        """Remove and return an idle connection that can carry a request, or None.

        Connections that have carried an earlier attempt of the request are left out, because a
        late second copy of its answer could be taken for the answer to this attempt.
        """
        idle = self._idle.get(instance, [])
        for conn in reversed(tuple(idle)):
            if not conn.is_open or not self._is_reusable(conn):
                idle.remove(conn)
                conn.close()
            elif not conn.has_carried(request_id):
                idle.remove(conn)
                return conn
        return None

    async def connect(self, instance: str, address: str) -> Result[UpstreamConn, HttpError]:
        """Open a connection to ``address``.

        The error's step is ``refused`` if no process listens there, otherwise ``connect``.
        """
        conn = UpstreamConn(self._decode_head, lambda released: self._release(instance, released))
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

    def close_idle(self, instance: str) -> None:
        """Close all idle connections to an upstream."""
        for conn in self._idle.pop(instance, []):
            conn.close()

    def sweep(self) -> None:
        """Close connections that have been idle too long to be reused."""
        for idle in self._idle.values():
            for conn in [conn for conn in idle if not conn.is_open or not self._is_reusable(conn)]:
                idle.remove(conn)
                conn.close()

    def _release(self, instance: str, conn: UpstreamConn) -> None:
        idle = self._idle.setdefault(instance, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM:
            conn.close()
            return
        conn.idle_since = self._clock()
        idle.append(conn)

    def _is_reusable(self, conn: UpstreamConn) -> bool:
        limit_s = conn.idle_limit_s
        usable_s = DEFAULT_IDLE_S if limit_s is None else IDLE_REUSE_RATIO * limit_s
        return self._clock() - conn.idle_since < usable_s
