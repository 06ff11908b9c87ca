"""Listening socket that accepts a few connections at a time."""

import asyncio
import socket
from collections.abc import Callable

import structlog

__all__ = ["Listener"]

log = structlog.get_logger()

BACKLOG = 512
# Connections that are accepted in one iteration of the event loop. The server of ``asyncio``
# accepts the whole backlog, so that a crowd could use up the descriptors before any is closed.
ACCEPTS_PER_TURN = 16
# Pause without room for a connection or free descriptors, in seconds. Without it, the event loop
# would try again in each iteration.
RETRY_S = 0.05


class Listener:
    """Accepts connections on one address as long as ``make_room`` returns True.

    ``make_room`` is called before each connection. If it returns False, the connection stays in the
    backlog for ``RETRY_S``.
    """

    def __init__(
        self,
        factory: Callable[[], asyncio.BaseProtocol],
        make_room: Callable[[], bool] = lambda: True,
    ) -> None:
        self._factory = factory
        self._make_room = make_room
        self._sock: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str, port: int) -> int:
        """Bind the address and return the port; raise ``OSError`` if it cannot be bound."""
        self._sock = socket.create_server((host, port), backlog=BACKLOG)
        self._sock.setblocking(False)
        asyncio.get_running_loop().add_reader(self._sock, self._accept)
        return self._sock.getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections."""
        sock, self._sock = self._sock, None
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if self._sock is None:
                return
            if not self._make_room():
                self._pause()
                return
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                log.error("connection not accepted", step="accept", detail=str(exc))
                self._pause()
                return
            conn.setblocking(False)
            task = asyncio.ensure_future(self._connect(conn))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, conn: socket.socket) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(self._factory, conn)
        except OSError:
            conn.close()

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        if self._sock is not None:
            loop.remove_reader(self._sock)
        loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().add_reader(self._sock, self._accept)
