"""Server that answers every request with given bytes, for tests of answers that break off."""

import asyncio
import socket
import struct

from .standin_store import StandinStore
from .tcp_server import TcpServer

__all__ = ["RawServer"]

# With this option, closing a socket resets its connection instead of ending it (SO_LINGER, 0 s).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawServer(TcpServer):
    """Registered server that sends ``head``, then each of ``parts``, and ends the connection.

    ``{id}`` in the head is replaced by the request's id. With ``reset``, the connection is reset
    after the last part.
    """

    def __init__(self, store: StandinStore, service: str, instance: str) -> None:
        super().__init__()
        self.head = ""
        self.parts: tuple[bytes, ...] = ()
        self.reset = False
        self._store = store
        self._service = service
        self._instance = instance

    async def start(self, models: tuple[str, ...] = ()) -> None:
        """Start listening and write the registry entry."""
        await super().start()
        entry = {
            "service": self._service,
            "address": self.address,
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

    async def answer(
        self, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request once it has arrived."""
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
