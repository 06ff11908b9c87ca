"""Stand-in server that records its runs and orders for the soak."""

from collections.abc import Callable
from typing import Any

from ....http import HttpRequest, HttpResponse, Responder
from ..standin_server import StandinServer
from ..standin_store import StandinStore
from .records import ArrivalRecord, NoticeRecord, OrderRecord, RunRecord, SoakRecord

__all__ = ["SoakServer"]

# Capacity of the engine in the test configuration: models that fit its memory, and adapter slots.
MAX_MODELS = 2
MAX_ADAPTERS = 4


class SoakServer(StandinServer):
    """One instance of a server, which nodes reach through a proxy at ``advertised``."""

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

    @property
    def registered_address(self) -> str:
        """The address of the proxy."""
        return self._advertised

    def record_run(self, req: HttpRequest, request_id: str) -> None:
        """Record the start of a request's run."""
        super().record_run(req, request_id)
        run = RunRecord(self._clock(), self.instance, request_id, req.path, req.body)
        self._record.runs.append(run)

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        """Answer a request, and record its arrival and what the answer says of this server."""
        request_id = req.header("eelgrassferry-request-id") or ""
        node, declined = request_id.rpartition("-")[0], len(self.declined)
        self._record.arrivals.append(ArrivalRecord(self._clock(), self.instance, node, request_id))
        is_leaving, is_limited = self.is_leaving, bool(self.limit)
        await super()._run(req, responder)
        is_declined = any(name == request_id for _, name in self.declined[declined:])
        pause_s = self.decline_pause_s if is_declined else 0.0
        if is_leaving or is_limited or pause_s:
            self._record.notices.append(
                NoticeRecord(self._clock(), self.instance, node, pause_s, is_leaving, is_limited)
            )

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
