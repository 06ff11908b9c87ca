"""Stand-in server that records its runs and orders for the soak."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from ....http import HttpRequest, HttpResponse, Responder
from ..standin_server import SEAL, StandinServer
from ..standin_store import StandinStore
from .fault_plan import FaultKind
from .records import ArrivalRecord, NoticeRecord, OrderRecord, RunRecord, SoakRecord

__all__ = ["SoakServer"]

# Capacity of the engine in the test configuration: models that fit its memory, and adapter slots.
MAX_MODELS = 2
MAX_ADAPTERS = 4
# Share of its requests that a server fails in one way at a time.
FAULTY_SHARE = 0.45
# Chunks of one byte that an answer without end has at a time, and the pause after them in seconds.
CHUNKS = b"1\r\nx\r\n" * 1000
CHUNKS_PAUSE_S = 0.02


class SoakServer(StandinServer):
    """One instance of a server, which nodes reach through a proxy at ``advertised``.

    ``faults`` counts the faults of answers that are in progress, by kind.
    """

    def __init__(
        self,
        store: StandinStore,
        service: str,
        instance: str,
        models: tuple[str, ...],
        advertised: str,
        record: SoakRecord,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(store, service, instance, models)
        self._advertised = advertised
        self._record = record
        self._clock = clock
        self.faults: Counter[FaultKind] = Counter()
        self._rng = Random(instance)

    @property
    def registered_address(self) -> str:
        """The address of the proxy."""
        return self._advertised

    def record_run(self, req: HttpRequest, request_id: str) -> None:
        """Record the start of a request's run."""
        super().record_run(req, request_id)
        tenant = req.header("eelgrassferry-tenant") or ""
        has_key = req.header("x-api-key") is not None
        run = RunRecord(
            self._clock(), self.instance, request_id, req.path, req.body, tenant, has_key
        )
        self._record.runs.append(run)

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        """Answer a request, and record its arrival and what the answer says of this server."""
        request_id = req.header("eelgrassferry-request-id") or ""
        node, declined = request_id.rpartition("-")[0], len(self.declined)
        self._record.arrivals.append(ArrivalRecord(self._clock(), self.instance, node, request_id))
        is_leaving, is_limited = self.is_leaving, bool(self.limit)
        self.repeats_declines = bool(self.faults[FaultKind.REPEAT_DECLINES])
        if self._fails(FaultKind.DECLINE_REQUESTS):
            self.decline_count += 1
        elif not self._expects_other_instance(req) and await self._fail(req, responder):
            return
        await super()._run(req, responder)
        is_declined = any(name == request_id for _, name in self.declined[declined:])
        pause_s = self.decline_pause_s if is_declined else 0.0
        if is_leaving or is_limited or pause_s:
            self._record.notices.append(
                NoticeRecord(self._clock(), self.instance, node, pause_s, is_leaving, is_limited)
            )

    def _fails(self, kind: FaultKind) -> bool:
        """Return whether a fault of a kind hits the current request."""
        return self.faults[kind] > 0 and self._rng.random() < FAULTY_SHARE

    async def _fail(self, req: HttpRequest, responder: Responder) -> bool:
        """Run a request and fail it, if a fault hits it; return whether one did."""
        request_id = req.header("eelgrassferry-request-id") or ""
        model = (req.header("eelgrassferry-model") or "").partition("/")[0]
        if model and model not in self.models:
            return False
        headers = (("Eelgrassferry-Request-Id", request_id), SEAL)
        if self._fails(FaultKind.FAIL_REQUESTS):
            self.record_run(req, request_id)
            self.send_late_copy(responder)
            await responder.send(HttpResponse(500, headers, b"own failure"))
            return True
        if self._fails(FaultKind.LOSE_ANSWERS):
            self.record_run(req, request_id)
            raise ConnectionResetError("injected fault: answer lost")
        if self._fails(FaultKind.ENDLESS_CHUNKS):
            self.record_run(req, request_id)
            self.send_late_copy(responder)
            await responder.start(200, (*headers, ("Transfer-Encoding", "chunked")))
            while self.faults[FaultKind.ENDLESS_CHUNKS]:
                responder._writer.write(CHUNKS)
                await responder._writer.drain()
                await asyncio.sleep(CHUNKS_PAUSE_S)
            raise ConnectionResetError("injected fault: answer without end")
        if model and self._fails(FaultKind.BREAK_STREAMS):
            self.record_run(req, request_id)
            self.send_late_copy(responder)
            first = int(req.header("last-event-id") or 0) + 1
            event = f"id: {first}\ndata: {self.instance}\n\nid: torn"
            await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
            await responder.write(event.encode())
            raise ConnectionResetError("injected fault: stream broken off")
        return False

    def _apply_order(self, order: dict[str, Any]) -> HttpResponse:
        full = self._is_full(order)
        res = super()._apply_order(order)
        fields = (order["holder"], order["fencing_token"], res.status)
        overcommits = res.status == 202 and full
        self._record.orders.append(OrderRecord(self._clock(), self.instance, *fields, overcommits))
        return res

    def _is_full(self, order: dict[str, Any]) -> bool:
        """Return whether an order would load more than the engine has capacity for."""
        if order["operation"] != "load":
            return False
        if "adapter" in order:
            loaded = self.models.get(order["model"], set())
            count = sum(len(adapters) for adapters in self.models.values())
            return order["adapter"] not in loaded and count >= MAX_ADAPTERS
        return order["model"] not in self.models and len(self.models) >= MAX_MODELS
