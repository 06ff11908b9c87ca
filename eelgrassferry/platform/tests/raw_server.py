"""Server that answers every request with given bytes, for tests of answers that break off."""

import asyncio
import socket
import struct

from .standin_store import StandinStore

__all__ = ["RawServer"]

# With this option, closing a socket resets its connection instead of ending it (SO_LINGER, 0 s).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawServer:
    """Registered server that sends ``head``, then each of ``parts``, and ends the connection.

    ``{id}`` in the head is replaced by the request's id. With ``reset``, the connection is reset
    after the last part.
    """

    def __init__(self, store: StandinStore, service: str, instance: str) -> None:
        self.head = ""
        self.parts: tuple[bytes, ...] = ()
        self.reset = False
        self._store = store
        self._service = service
        self._instance = instance
        self._server: asyncio.Server | None = None
        self._answers: set[asyncio.Task[None]] = set()

    async def start(self, models: tuple[str, ...] = ()) -> None:
        """Start listening and write the registry entry."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        entry = {
            "service": self._service,
            "address": f"{host}:{port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "models": [{"name": name, "version": 1, "adapters": []} for name in models],
            "sequence": 1,
            "born": 1000,
        }
        await self._store.write("servers", self._instance, entry)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._answers:
            task.cancel()
        await asyncio.gather(*self._answers, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._answer(reader, writer))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._answer_request(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        headers = dict(
            line.lower().split(": ", 1) for line in text.split("\r\n")[1:] if ": " in line
        )
        await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("eelgrassferry-request-id")
        writer.write(self.head.replace("{id}", request_id or "").encode("latin-1"))
        for part in self.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.05)
        if self.reset:
            conn: socket.socket = writer.get_extra_info("socket")
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
