"""A loopback proxy that delays, holds back or resets the connections through it."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

__all__ = ["FaultProxy"]

READ_BYTES = 64 * 1024
# Socket option by which a close sends a reset instead of an end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultProxy:
    """Passes connections on to the address that ``target`` returns at the time.

    ``delay_s`` is added to each part in both directions. While ``up_open`` or ``down_open`` is
    cleared, bytes in that direction are held back, as on a link that is cut one way.
    """

    def __init__(self, target: Callable[[], str]) -> None:
        self.delay_s = 0.0
        self.up_open = asyncio.Event()
        self.down_open = asyncio.Event()
        self.up_open.set()
        self.down_open.set()
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close all connections and listen no more."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    def reset(self) -> None:
        """Reset all connections."""
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
        far_writer: asyncio.StreamWriter | None = None
        try:
            host, port = self._target().rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_on(reader, far_writer, self.up_open))
                group.create_task(self._pass_on(far_reader, writer, self.down_open))
        except* (OSError, asyncio.CancelledError):
            # The end of either connection ends both, as a link would.
            pass
        finally:
            self._tasks.discard(task)
            for end in filter(None, (writer, far_writer)):
                self._writers.discard(end)
                end.transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await is_open.wait()
            writer.write(data)
            await writer.drain()
        # What was written is delivered before the connection ends.
        await is_open.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
        await asyncio.sleep(0.05)
        raise ConnectionResetError("the peer has closed")
