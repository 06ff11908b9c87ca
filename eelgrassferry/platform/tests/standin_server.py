"""A stand-in of a server of the platform, model server or plain, for tests on loopback."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from ...http import HttpRequest, HttpResponse, HttpServer, Responder
from .standin_store import StandinStore

__all__ = ["StandinServer"]

SEAL = ("Eelgrassferry-Server-Seal", "3e1b.07")
LOAD_S = 0.1


class StandinServer:
    """Registers itself, runs requests and obeys orders.

    ``runs`` are the ids of the requests that it ran, ``abandoned`` of those whose connection closed
    before the answer, ``orders`` the bodies of accepted orders.
    ``status`` is what it answers to a plain request, ``decline`` the number of requests that it
    declines as not run, ``break_after`` the events after which it breaks off a stream, once it has
    called ``on_break``. ``event_pause_s`` is the time between two events.
    """

    def __init__(
        self, store: StandinStore, service: str, instance: str, models: tuple[str, ...] = ()
    ) -> None:
        self.instance = instance
        self.runs: list[str] = []
        self.abandoned: list[str] = []
        self.seen: list[HttpRequest] = []
        self.orders: list[dict[str, Any]] = []
        self.status = 200
        self.decline = 0
        self.break_after: int | None = None
        self.on_break: Callable[[], None] = lambda: None
        self.events = 3
        self.pause_s = 0.0
        self.event_pause_s = 0.0
        self.models: dict[str, set[str]] = {model: set() for model in models}
        self._store = store
        self._service = service
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy = False
        self._state = "ready"
        self._server = HttpServer(self._answer, host="127.0.0.1", port=0)

    async def start(self) -> None:
        """Listen and register."""
        await self._server.start()
        await self.register()

    async def stop(self) -> None:
        """Close all connections."""
        await self._server.close(grace_s=0)

    @property
    def address(self) -> str:
        """The address in use."""
        return self._server.address

    @property
    def registered_address(self) -> str:
        """The address at which nodes reach it."""
        return self.address

    def note_run(self, req: HttpRequest, request_id: str) -> None:
        """Take that a request begins to run."""
        self.runs.append(request_id)

    async def register(self, state: str = "") -> None:
        """Write the entry in the store, with the state of the entry before unless one is given."""
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

    async def _answer(self, req: HttpRequest, out: Responder) -> None:
        if req.path == "/eelgrassferry/report":
            await out.send(HttpResponse.of_json(self._report()))
        elif req.path == "/eelgrassferry/order":
            other = self._names_another(req)
            await out.send(HttpResponse(421) if other else self._obey(json.loads(req.body)))
        else:
            await self._run(req, out)

    def _names_another(self, req: HttpRequest) -> bool:
        return req.header("eelgrassferry-expect-instance") not in (None, self.instance)

    def _report(self) -> dict[str, Any]:
        models = [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]
        numbers = {"sequence": len(self.orders), "queued": 0, "active": 0}
        return {"stage": "unified", "models": models, "busy": self._busy, **numbers}

    def _obey(self, order: dict[str, Any]) -> HttpResponse:
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
                self._later(self._load(model))
            case "unload":
                del self.models[model]
                self._later(self.register())
        return HttpResponse(202)

    async def _load(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.models[model] = set()
        self._busy = False
        await self.register()

    def _later(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, req: HttpRequest, out: Responder) -> None:
        self.seen.append(req)
        request_id = req.header("eelgrassferry-request-id") or ""
        own = ("Eelgrassferry-Request-Id", request_id)
        if self._names_another(req):
            named = ("Eelgrassferry-Instance-Id", self.instance)
            await out.send(HttpResponse(421, (own, named)))
            return
        model, _, adapter = (req.header("eelgrassferry-model") or "").partition("/")
        missing = model and adapter and adapter not in self.models.get(model, ())
        if model and (model not in self.models or missing):
            await out.send(HttpResponse(421, (own, ("Eelgrassferry-Not-Executed", "1"))))
            return
        if self.decline:
            self.decline -= 1
            await out.send(HttpResponse(503, (own, ("Eelgrassferry-Not-Executed", "1"))))
            return
        self.note_run(req, request_id)
        try:
            await asyncio.sleep(self.pause_s)
        except asyncio.CancelledError:
            self.abandoned.append(request_id)
            raise
        if not model:
            await out.send(HttpResponse(self.status, (own, SEAL), b"done by " + req.body))
            return
        await self._stream(req, out, own)

    async def _stream(self, req: HttpRequest, out: Responder, own: tuple[str, str]) -> None:
        first = int(req.header("last-event-id") or 0) + 1
        await out.start(200, (own, SEAL, ("Content-Type", "text/event-stream")))
        for number in range(first, self.events + 1):
            if self.break_after is not None and number > self.break_after:
                self.on_break()
                await out.write(b"id: torn")
                raise ConnectionResetError("broken off")
            if number > first:
                await asyncio.sleep(self.event_pause_s)
            await out.write(f"id: {number}\ndata: {self.instance}\n\n".encode())
        await out.finish()
