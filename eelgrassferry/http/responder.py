"""The answering side of one HTTP exchange."""

import asyncio

import h11

from .message import Headers, HttpResponse

__all__ = ["Responder"]


class Responder:
    """Sends one response, whole or streamed.

    A handler calls ``send`` once, or ``start``, any number of ``write`` and ``finish``. A lost
    connection raises ``ConnectionError``.
    """

    def __init__(self, conn: h11.Connection, writer: asyncio.StreamWriter, close: bool) -> None:
        self._conn = conn
        self._writer = writer
        self._close = close
        self.started = False
        self.finished = False

    async def send(self, response: HttpResponse) -> None:
        """Send a whole response, in one write."""
        length = (("content-length", str(len(response.body))),)
        head = self._encode_head(response.status, (*response.headers, *length))
        body = self._encode(response.body)
        self._writer.write(head + body + self._encode_end())
        await self._writer.drain()

    async def start(self, status: int, headers: Headers = (), data: bytes = b"") -> None:
        """Send the status line and headers, and in the same write the first part of the body."""
        head = self._encode_head(status, headers)
        self._writer.write(head + self._encode(data))
        await self._writer.drain()

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the caller reads slowly."""
        self._writer.write(self._encode(data))
        await self._writer.drain()

    async def finish(self, data: bytes = b"") -> None:
        """End the response, after a last part of the body in the same write."""
        tail = self._encode(data) + self._encode_end()
        if tail:
            self._writer.write(tail)
        await self._writer.drain()

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        extra = (("connection", "close"),) if self._close else ()
        return self._conn.send(h11.Response(status_code=status, headers=[*headers, *extra])) or b""

    def _encode(self, data: bytes) -> bytes:
        return (self._conn.send(h11.Data(data=data)) or b"") if data else b""

    def _encode_end(self) -> bytes:
        self.finished = True
        return self._conn.send(h11.EndOfMessage()) or b""
