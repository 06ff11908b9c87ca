"""A stand-in server whose runs and orders are recorded."""

from collections.abc import Callable
from typing import Any

from ....http import HttpRequest, HttpResponse
from ..standin_server import StandinServer
from ..standin_store import StandinStore
from .records import OrderRecord, RunRecord, SoakRecord

__all__ = ["SoakServer"]

# What the configuration's engine has memory and places for.
MAX_MODELS = 2
MAX_ADAPTERS = 4


class SoakServer(StandinServer):
    """One incarnation of a server, behind a proxy at ``advertised``."""

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
        """The proxy's address."""
        return self._advertised

    def record_run(self, req: HttpRequest, request_id: str) -> None:
        """Record a run."""
        super().record_run(req, request_id)
        run = RunRecord(self._clock(), self.instance, request_id, req.path, req.body)
        self._record.runs.append(run)

    def _apply_order(self, order: dict[str, Any]) -> HttpResponse:
        full = self._is_full(order)
        res = super()._apply_order(order)
        told = (order["holder"], order["fencing_token"], res.status)
        overcommits = res.status == 202 and full
        self._record.orders.append(OrderRecord(self._clock(), self.instance, *told, overcommits))
        return res

    def _is_full(self, order: dict[str, Any]) -> bool:
        """Whether a load would need more than the engine has."""
        if order["operation"] != "load":
            return False
        if "adapter" in order:
            held = self.models.get(order["model"], set())
            count = sum(len(adapters) for adapters in self.models.values())
            return order["adapter"] not in held and count >= MAX_ADAPTERS
        return order["model"] not in self.models and len(self.models) >= MAX_MODELS
