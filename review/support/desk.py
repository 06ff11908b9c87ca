"""Stand-in for a plain server with a limited capacity, of which some send answers twice."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

import h11

from .store import Store

__all__ = ["Desk"]

KEEP_ALIVE_S = 5


class Desk:
    """Registered plain server with ``slots`` concurrent runs and a queue of ``queue`` more.

    A request beyond these is rejected as full. ``sends_extra`` is called for each answer with
    whether it rejects the request; if it returns True, the same answer comes once more on its
    connection, at the point where the next answer is expected.
    """

    def __init__(self, store: Store, service: str, instance: str, zone: str, seed: int) -> None:
        self.instance = instance
        self.log: Callable[[str], None] = lambda _text: None
        self.slots, self.queue, self.work_s = 6, 2, 0.045
        self.sends_extra: Callable[[str, bool], bool] = lambda _path, _rejected: False
        self.runs: list[tuple[float, str, str]] = []
        self.answers = self.extras = self.rejected = 0
        self._store, self._service, self._zone = store, service, zone
        self._rng = random.Random(seed)
        self._running = 0
        self._free = asyncio.Semaphore(self.slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening and write the registry entry."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        entry = {
            "service": self._service,
            "address": f"{host}:{port}",
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "models": [],
            "sequence": 1,
            "born": 1000,
        }
        await self._store.write("servers", self.instance, entry)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, h11.RemoteProtocolError, asyncio.CancelledError):
                await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        extra = b""
        while True:
            conn = h11.Connection(h11.SERVER)
            head, body = None, b""
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    async with asyncio.timeout(KEEP_ALIVE_S + 0.9):
                        conn.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    return
            assert head is not None
            headers = {k.decode(): v.decode() for k, v in head.headers}
            request_id = headers.get("eelgrassferry-request-id", "")
            path = head.target.decode()
            task = asyncio.ensure_future(self._answer(headers, request_id, path, body))
            if extra:
                writer.write(extra)
                self.log(
                    f"server {self.instance}: sent the extra answer before that to {request_id}"
                )
                extra = b""
            try:
                data, rejected = await task
            finally:
                task.cancel()
            writer.write(data)
            await writer.drain()
            self.answers += 1
            self.rejected += rejected
            if self.sends_extra(path, rejected):
                self.extras += 1
                extra = data

    async def _answer(
        self, headers: dict[str, str], request_id: str, path: str, body: bytes
    ) -> tuple[bytes, bool]:
        fields = [f"Eelgrassferry-Request-Id: {request_id}", f"Keep-Alive: timeout={KEEP_ALIVE_S}"]
        if headers.get("eelgrassferry-expect-instance") not in (None, self.instance):
            fields.append("Eelgrassferry-Not-Executed: 1")
            return _encode("421 Misdirected Request", fields, b""), True
        if self._running >= self.slots + self.queue:
            self.log(f"server {self.instance}: {request_id} {path} rejected as full")
            fields.append("Eelgrassferry-Not-Executed: 1")
            return _encode("503 Service Unavailable", fields, b""), True
        self._running += 1
        try:
            async with self._free:
                self.runs.append((time.monotonic(), request_id, path))
                self.log(f"server {self.instance}: {request_id} {path} runs")
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) * self.work_s)
        finally:
            self._running -= 1
        fields.append("Eelgrassferry-Server-Seal: 3e1b.07")
        return _encode("200 OK", fields, b"done by " + body), False


def _encode(status: str, fields: list[str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}", *fields, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
