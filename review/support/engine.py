"""Stand-in for a model server that counts the memory of what it is ordered to load."""

import asyncio
import time
from typing import Any

from eelgrassferry.http import HttpResponse

from .servers import Server
from .store import Store

__all__ = ["Engine"]


class Engine(Server):
    """Server with room for models of ``weights_mb`` in all, each of which takes ``load_s`` to load.

    ``overcommitted`` lists the orders that would load more than it has room for. A real server
    crashes then; this one goes on, so that the rest can be seen.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        instance: str,
        models: tuple[str, ...],
        zone: str,
        model_mb: float,
        weights_mb: float,
        load_s: float,
    ) -> None:
        super().__init__(store, service, instance, models, zone)
        self.overcommitted: list[tuple[float, dict[str, Any]]] = []
        self.loading = ""
        self._model_mb, self._weights_mb, self._load_s = model_mb, weights_mb, load_s

    def _apply_order(self, order: dict[str, Any]) -> HttpResponse:
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "load" and not adapter and model in self.models:
            self.log(f"order {order}: 200")
            return HttpResponse(200)
        present = len(self.models)
        res = super()._apply_order(order)
        self.log(f"order {order}: {res.status}")
        loads_model = res.status == 202 and order["operation"] == "load" and not adapter
        if loads_model and (present + 1) * self._model_mb > self._weights_mb:
            self.overcommitted.append((time.monotonic(), order))
            self.log(
                f"server {self.instance} holds {sorted(self.models)} of {self._model_mb} MB each "
                f"and has {self._weights_mb} MB: ordered to load {model} beyond that"
            )
        return res

    async def _load(self, model: str) -> None:
        self.loading = model
        await asyncio.sleep(self._load_s)
        self.models[model] = set()
        self.loading, self._busy = "", False
        self.log(f"server {self.instance} has loaded {model}, holds {sorted(self.models)}")
        await self.register()
