"""Stand-in for a server of the platform (an engine or a plain server), for tests on loopback."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

from ...http import HttpRequest, HttpResponse, HttpServer, Responder
from .standin_store import StandinStore

__all__ = ["StandinServer"]

SEAL = ("Eelgrassferry-Server-Seal", "3e1b.07")
LOAD_S = 0.1


class StandinServer:
    """HTTP server that registers itself, runs requests and carries out orders.

    These attributes record what the server did: ``runs``, the ids of the requests that it ran;
    ``abandoned``, the ids of those whose connection closed before the response; ``received``, all
    requests, and ``received_at``, their times in seconds; ``declined``, the times and ids of those
    that it declined; ``orders``, the bodies of the accepted orders; ``is_stopped``, whether it has
    ended.

    These attributes control its behaviour: ``status`` is the status of responses to plain requests.
    ``decline_count`` is the number of further requests that it declines as not run. ``events`` is
    the number of events of a stream. If ``break_after_events`` is set, it calls ``on_break`` and
    breaks off a stream after that many events. ``pause_s`` is the run time of a request and
    ``event_pause_s`` the time between two events, both in seconds. A stream whose prompt contains
    ``deadly_part`` before its last part ends the server after the head of the answer. While
    ``is_leaving``, all its answers say so, but its registration does not. With ``decline_pause_s``,
    it asks for a pause of this many seconds when it declines a request. All its answers name
    ``limit``, the requests per second that it takes, if that is not empty. With
    ``repeats_declines``, the answer to each request that it declines comes once more, late: on the
    same connection, ahead of the next answer.
    """

    def __init__(
        self, store: StandinStore, service: str, instance: str, models: tuple[str, ...] = ()
    ) -> None:
        self.instance = instance
        self.runs: list[str] = []
        self.abandoned: list[str] = []
        self.received: list[HttpRequest] = []
        self.received_at: list[float] = []
        self.declined: list[tuple[float, str]] = []
        self.orders: list[dict[str, Any]] = []
        self.status = 200
        self.decline_count = 0
        self.break_after_events: int | None = None
        self.on_break: Callable[[], None] = lambda: None
        self.events = 3
        self.deadly_part = ""
        self.is_leaving = False
        self.decline_pause_s = 0.0
        self.limit = ""
        self.repeats_declines = False
        self.is_stopped = False
        self.pause_s = 0.0
        self.event_pause_s = 0.0
        self.models: dict[str, set[str]] = {model: set() for model in models}
        self._store = store
        self._service = service
        self._tasks: set[asyncio.Task[None]] = set()
        self._late_copies: WeakKeyDictionary[asyncio.StreamWriter, bytes] = WeakKeyDictionary()
        self._busy = False
        self._state = "ready"
        self._server = HttpServer(self._handle, host="127.0.0.1", port=0)

    async def start(self) -> None:
        """Start listening and write the registry entry."""
        await self._server.start()
        await self.register()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.is_stopped = True
        await self._server.close(grace_s=0)

    @property
    def address(self) -> str:
        """The address ``ip:port`` on which the server listens."""
        return self._server.address

    @property
    def registered_address(self) -> str:
        """The address in the registry entry, at which nodes reach the server."""
        return self.address

    def send_late_copy(self, responder: Responder) -> None:
        """Send the copy of an answer that is due ahead of the next one on its connection."""
        responder._writer.write(self._late_copies.pop(responder._writer, b""))

    def record_run(self, req: HttpRequest, request_id: str) -> None:
        """Record that a request has started to run."""
        self.runs.append(request_id)

    async def register(self, state: str = "") -> None:
        """Write the registry entry. An empty ``state`` keeps the state of the last entry."""
        self._state = state or self._state
        models = [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]
        entry = {
            "service": self._service,
            "address": self.registered_address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "cold_left_ms": 0,
            "models": models,
            "sequence": 1,
            "born": 1000,
        }
        await self._store.write("servers", self.instance, entry)

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        if req.path == "/eelgrassferry/report":
            await responder.send(HttpResponse.of_json(self._report()))
        elif req.path == "/eelgrassferry/order":
            other_instance = self._expects_other_instance(req)
            await responder.send(
                HttpResponse(421) if other_instance else self._apply_order(json.loads(req.body))
            )
        else:
            await self._run(req, responder)

    def _expects_other_instance(self, req: HttpRequest) -> bool:
        return req.header("eelgrassferry-expect-instance") not in (None, self.instance)

    def _report(self) -> dict[str, Any]:
        models = [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]
        counts = {"sequence": len(self.orders), "queued": 0, "active": 0}
        return {"stage": "unified", "models": models, "busy": self._busy, **counts}

    def _apply_order(self, order: dict[str, Any]) -> HttpResponse:
        if self._busy or order["expect"] != len(self.orders):
            return HttpResponse(409)
        self.orders.append(order)
        model, adapter = order["model"], order.get("adapter")
        match order["operation"]:
            case "load" if adapter:
                self.models[model].add(adapter)
            case "unload" if adapter:
                self.models[model].discard(adapter)
                return HttpResponse(200)
            case "load":
                self._busy = True
                self._start_task(self._load(model))
            case "unload":
                del self.models[model]
                self._start_task(self.register())
        return HttpResponse(202)

    async def _load(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.models[model] = set()
        self._busy = False
        await self.register()

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        self.received.append(req)
        self.received_at.append(time.monotonic())
        request_id = req.header("eelgrassferry-request-id") or ""
        headers = (("Eelgrassferry-Request-Id", request_id), *self._notice_headers())
        self.send_late_copy(responder)
        if self._expects_other_instance(req):
            instance_header = ("Eelgrassferry-Instance-Id", self.instance)
            await responder.send(HttpResponse(421, (*headers, instance_header)))
            return
        model, _, adapter = (req.header("eelgrassferry-model") or "").partition("/")
        missing = model and adapter and adapter not in self.models.get(model, ())
        if model and (model not in self.models or missing):
            await responder.send(HttpResponse(421, (*headers, ("Eelgrassferry-Not-Executed", "1"))))
            return
        if self.decline_count:
            self.decline_count -= 1
            self.declined.append((time.monotonic(), request_id))
            if self.decline_pause_s:
                headers += (("Retry-After", str(self.decline_pause_s)),)
            headers += (("Eelgrassferry-Not-Executed", "1"),)
            if self.repeats_declines:
                lines = [f"{name}: {value}\r\n" for name, value in headers]
                head = f"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n{''.join(lines)}\r\n"
                self._late_copies[responder._writer] = head.encode()
            await responder.send(HttpResponse(503, headers))
            return
        self.record_run(req, request_id)
        try:
            await asyncio.sleep(self.pause_s)
        except asyncio.CancelledError:
            self.abandoned.append(request_id)
            raise
        if not model:
            await responder.send(
                HttpResponse(self.status, (*headers, SEAL), b"done by " + req.body)
            )
            return
        await self._stream(req, responder, headers)

    def _notice_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in which the server speaks of itself."""
        leaving = (("Server-Leaving", "1"),) if self.is_leaving else ()
        return (*leaving, ("Server-Limit", self.limit)) if self.limit else leaving

    async def _stream(
        self, req: HttpRequest, responder: Responder, headers: tuple[tuple[str, str], ...]
    ) -> None:
        first = int(req.header("last-event-id") or 0) + 1
        await responder.start(200, (*headers, SEAL, ("Content-Type", "text/event-stream")))
        parts = (req.header("eelgrassferry-prompt-prefix") or "").split(",")[:-1]
        if self.deadly_part and self.deadly_part in [part.partition(":")[0] for part in parts]:
            self._start_task(self.stop())
            await asyncio.sleep(60.0)
        for number in range(first, self.events + 1):
            if self.break_after_events is not None and number > self.break_after_events:
                self.on_break()
                await responder.write(b"id: torn")
                raise ConnectionResetError("injected fault: stream broken off")
            if number > first:
                await asyncio.sleep(self.event_pause_s)
            await responder.write(f"id: {number}\ndata: {self.instance}\n\n".encode())
        await responder.finish()
