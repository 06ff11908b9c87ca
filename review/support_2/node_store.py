"""The platform's store with an address of its own for each node."""

import asyncio

from eelgrassferry.http import HttpRequest, HttpResponse, HttpServer, Responder
from eelgrassferry.platform.tests.standin_store import StandinStore

__all__ = ["NodeStore"]


class NodeStore(StandinStore):
    """A store that can turn single nodes away with 503 while it serves the others."""

    def __init__(self) -> None:
        super().__init__()
        self._turned_away: dict[str, asyncio.Event] = {}
        self._doors: list[HttpServer] = []

    def turn_away(self, node: str) -> None:
        """Answer each call of a node with 503, and cut off its watches that are waiting."""
        self._turned_away[node].set()

    def serve_all(self) -> None:
        """Serve all nodes again."""
        for event in self._turned_away.values():
            event.clear()

    async def open_door(self, node: str) -> str:
        """Start listening for one node and return the address."""
        turned_away = self._turned_away[node] = asyncio.Event()

        async def handle(req: HttpRequest, responder: Responder) -> None:
            if turned_away.is_set():
                await responder.send(HttpResponse(503))
                return
            answer = asyncio.ensure_future(self._handle(req, responder))
            refusal = asyncio.ensure_future(turned_away.wait())
            try:
                await asyncio.wait({answer, refusal}, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    raise ConnectionResetError("the watch is cut off")
                answer.result()
            finally:
                answer.cancel()
                refusal.cancel()

        door = HttpServer(handle, host="127.0.0.1", port=0)
        await door.start()
        self._doors.append(door)
        return door.address

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for door in self._doors:
            await door.close(grace_s=0)
        await super().stop()
