"""Loopback TCP proxy that injects delays, one-way stalls and resets."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

__all__ = ["FaultProxy"]

READ_BYTES = 64 * 1024
# Value of SO_LINGER with which closing a socket sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultProxy:
    """TCP proxy to the address that ``target`` returns when a connection is accepted.

    Each chunk is delayed by ``delay_s`` seconds in both directions. While ``to_target_open`` or
    ``to_client_open`` is cleared, bytes in that direction are withheld, as on a link that fails in
    one direction.
    """

    def __init__(self, target: Callable[[], str]) -> None:
        self.delay_s = 0.0
        self.to_target_open = asyncio.Event()
        self.to_client_open = asyncio.Event()
        self.to_target_open.set()
        self.to_client_open.set()
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Start listening and return the address ``ip:port``."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    def reset(self) -> None:
        """Reset all connections; new ones are still accepted."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            host, port = self._target().rsplit(":", 1)
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, self.to_target_open))
                group.create_task(self._forward(target_reader, writer, self.to_client_open))
        except* (OSError, asyncio.CancelledError):
            # When either connection ends, both are closed.
            pass
        finally:
            self._tasks.discard(task)
            for end in filter(None, (writer, target_writer)):
                self._writers.discard(end)
                end.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await is_open.wait()
            writer.write(data)
            await writer.drain()
        # Deliver what was written before the connection is closed.
        await is_open.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
        await asyncio.sleep(0.05)
        raise ConnectionResetError("the peer has closed the connection")
