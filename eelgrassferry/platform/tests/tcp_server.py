"""Base of servers that answer with bytes of their own, for tests."""

import asyncio
import socket

from .soak.free_ports import own_loopback_ip

__all__ = ["TcpServer", "listen_with_small_buffer"]

RECEIVE_BUFFER_BYTES = 32 * 1024


def listen_with_small_buffer(ip: str) -> socket.socket:
    """Return a listening socket whose connections take little that is not read.

    The kernel enlarges the buffers of others, and then may take hundreds of kilobytes.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind((ip, 0))
    return sock


class TcpServer:
    """Server on loopback at ``address`` that calls ``answer`` for each connection.

    ``answers`` counts the connections on which a request has been read.
    """

    def __init__(self) -> None:
        self.address = ""
        self.answers = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        sock = listen_with_small_buffer(own_loopback_ip())
        self._server = await asyncio.start_server(self._accept, sock=sock)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def answer(
        self, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request with these headers, whose names are in lower case."""
        raise NotImplementedError

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[1:]
            pairs = (line.split(": ", 1) for line in lines if ": " in line)
            self.answers += 1
            await self.answer({name.lower(): value for name, value in pairs}, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
