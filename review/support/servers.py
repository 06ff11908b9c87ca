"""Stand-in servers whose answers a case decides."""

import asyncio
import time

from eelgrassferry.http import HttpRequest, HttpResponse, Responder
from eelgrassferry.platform.tests.standin_server import SEAL, StandinServer

from .store import Store

__all__ = ["Server"]


class Server(StandinServer):
    """The project's stand-in, with a zone and a plan for each run.

    ``plan`` is called with each request that the server is about to run and returns what to do:
    "" (serve it), "error" (the server's own 500), or "reset" (send ``events_before_reset`` events
    and a part of the next one, then reset the connection).
    """

    def __init__(
        self,
        store: Store,
        service: str,
        instance: str,
        models: tuple[str, ...] = (),
        zone: str = "uy-sur-a",
    ) -> None:
        super().__init__(store, service, instance, models)
        self.zone = zone
        self.plan = lambda _request_id, _req: ""
        self.log = lambda _text: None
        self.events_before_reset = 2
        self.slots = 64 if models else 6
        self.run_times: list[tuple[float, str]] = []

    async def register(self, state: str = "") -> None:
        """Write the registry entry."""
        self._state = state or self._state
        await self._store.write("servers", self.instance, self.entry())

    def entry(self) -> dict:
        """Return the registry entry."""
        models = [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]
        return {
            "service": self._service,
            "address": self.registered_address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self._state,
            "cold_left_ms": 0,
            "models": models,
            "sequence": 1,
            "born": 1000,
        }

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        request_id = req.header("eelgrassferry-request-id") or ""
        if req.path == "/health":
            await responder.send(HttpResponse(200, (("Eelgrassferry-Instance-Id", self.instance),)))
            return
        if self._expects_other_instance(req):
            await super()._run(req, responder)
            return
        what = self.plan(request_id, req)
        self.run_times.append((time.monotonic(), request_id))
        self.log(f"server {self.instance}: {request_id} {req.path} {what or 'served'}")
        headers = (("Eelgrassferry-Request-Id", request_id), *self._notice_headers())
        if what == "error":
            self.record_run(req, request_id)
            await responder.send(HttpResponse(500, (*headers, SEAL), b"own failure"))
        elif what == "reset":
            self.record_run(req, request_id)
            await self._break_off(responder, headers)
        else:
            await super()._run(req, responder)

    async def _break_off(self, responder: Responder, headers: tuple) -> None:
        await responder.start(200, (*headers, SEAL, ("Content-Type", "text/event-stream")))
        for number in range(1, self.events_before_reset + 1):
            await responder.write(f"id: {number}\ndata: {self.instance}\n\n".encode())
            await asyncio.sleep(0.03)
        await responder.write(b"id: torn")
        await asyncio.sleep(0.03)
        raise ConnectionResetError("injected fault: stream broken off")
