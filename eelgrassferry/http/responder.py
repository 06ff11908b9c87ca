"""Server side of one HTTP exchange: the response."""

import asyncio

import h11

from .message import Headers, HttpResponse

__all__ = ["Responder"]


class Responder:
    """Sender of one response, whole or streamed.

    A handler calls either ``send`` once, or ``start``, ``write`` any number of times and
    ``finish``. All of them raise ``ConnectionError`` if the connection is lost.
    """

    def __init__(self, conn: h11.Connection, writer: asyncio.StreamWriter, close: bool) -> None:
        self._conn = conn
        self._writer = writer
        self._closes_connection = close
        self.started = False
        self.finished = False

    async def send(self, response: HttpResponse) -> None:
        """Send a whole response in a single write."""
        length = (("content-length", str(len(response.body))),)
        head = self._encode_head(response.status, (*response.headers, *length))
        body = self._encode(response.body)
        self._writer.write(head + body + self._encode_end())
        await self._writer.drain()

    async def start(self, status: int, headers: Headers = (), data: bytes = b"") -> None:
        """Send the status line, the headers and the first part of the body in a single write."""
        head = self._encode_head(status, headers)
        self._writer.write(head + self._encode(data))
        await self._writer.drain()

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""
        self._writer.write(self._encode(data))
        await self._writer.drain()

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body and end the response in a single write."""
        tail = self._encode(data) + self._encode_end()
        if tail:
            self._writer.write(tail)
        await self._writer.drain()

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        extra = (("connection", "close"),) if self._closes_connection else ()
        return self._conn.send(h11.Response(status_code=status, headers=[*headers, *extra])) or b""

    def _encode(self, data: bytes) -> bytes:
        return (self._conn.send(h11.Data(data=data)) or b"") if data else b""

    def _encode_end(self) -> bytes:
        self.finished = True
        return self._conn.send(h11.EndOfMessage()) or b""
