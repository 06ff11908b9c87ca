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
        """Send a whole response."""
        length = (("content-length", str(len(response.body))),)
        await self.start(response.status, (*response.headers, *length))
        if response.body:
            await self.write(response.body)
        await self.finish()

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the status line and headers."""
        self.started = True
        extra = (("connection", "close"),) if self._close else ()
        event = h11.Response(status_code=status, headers=[*headers, *extra])
        self._writer.write(self._conn.send(event))

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the caller reads slowly."""
        self._writer.write(self._conn.send(h11.Data(data=data)))
        await self._writer.drain()

    async def finish(self) -> None:
        """End the response."""
        self.finished = True
        tail = self._conn.send(h11.EndOfMessage())
        if tail:
            self._writer.write(tail)
        await self._writer.drain()
