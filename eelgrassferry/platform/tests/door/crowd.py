"""A crowd of clients, each of which sends given pieces on one connection and stays open."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable

__all__ = ["Crowd"]

# Receive buffer of a client, in bytes, so that answers that are not read stay at the node.
RECEIVE_BUFFER_BYTES = 4096
# A crowd is settled when it has sent nothing for this time, in seconds.
QUIET_S = 0.6


class Crowd:
    """Clients that connect at once, and read only what ``read_all`` reads.

    A connection that the node closes or no longer reads from is not replaced. ``pause_s`` is the
    time between two pieces, in seconds.
    """

    def __init__(self, address: str, pause_s: float = 0.0) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._pause_s = pause_s
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._sent_at = 0.0

    def add(self, pieces: Iterable[bytes]) -> None:
        """Start one more client, which sends ``pieces``."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socks.append(sock)
        self._tasks.append(asyncio.ensure_future(self._send(sock, pieces)))

    async def _send(self, sock: socket.socket, pieces: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._address)
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
                self._sent_at = loop.time()
                await asyncio.sleep(self._pause_s)

    async def settle(self) -> None:
        """Wait until all pieces are sent, or nothing more is accepted."""
        loop = asyncio.get_running_loop()
        self._sent_at = loop.time()
        while loop.time() - self._sent_at < QUIET_S:
            await asyncio.sleep(0.05)
            if all(task.done() for task in self._tasks):
                await asyncio.sleep(QUIET_S)
                return

    async def leave(self) -> None:
        """Close all connections, also in the middle of a request or an answer."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()
