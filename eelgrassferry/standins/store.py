"""Stand-in for the weight store."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem, Responder
from .standin import Standin, problem_response
from .transfers import Transfers

__all__ = ["StoreFaults", "StoreOptions", "StoreStandin"]


@dataclass(frozen=True)
class StoreOptions:
    """Options of the weight store.

    Up to ``slots`` model transfers run at full speed, at which they complete ``loads_per_s`` loads
    per second in total. A transfer counts as ``size_mib / mib_per_load`` loads, or as one load if
    ``mib_per_load`` is 0. An adapter takes ``adapter_load_s`` seconds while no more than
    ``adapter_slots`` adapters are in transit.
    """

    host: str = "127.0.0.1"
    port: int = 0
    loads_per_s: float = 1.5
    slots: int = 2
    mib_per_load: float = 0.0
    adapter_load_s: float = 0.005
    adapter_slots: int = 16


@dataclass(frozen=True)
class StoreFaults:
    """Fault switches of the weight store.

    ``down`` refuses new transfers and aborts those in progress. Each transfer starts ``delay_ms``
    after its request.
    """

    down: bool = False
    delay_ms: float = 0.0


class StoreStandin(Standin[StoreFaults]):
    """A simulated store that answers ``GET /weights/<name>?size_mib=N&kind=model|adapter``.

    The answer comes after the transfer time and has no weights. ``kind`` defaults to ``model``. If
    there are more transfers than slots, all transfers of that kind slow down proportionally.
    """

    def __init__(self, options: StoreOptions | None = None) -> None:
        self.options = options or StoreOptions()
        super().__init__(self.options.host, self.options.port, StoreFaults())
        self._models = Transfers(self.options.slots)
        self._adapters = Transfers(self.options.adapter_slots)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the fault switches and abort the transfers in progress if ``down`` is set."""
        super().set_faults(faults)
        if faults.down:
            self._models.abort_all()
            self._adapters.abort_all()

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``."""
        in_transit = {
            "max_models_in_transit": self._models.max_in_transit,
            "max_adapters_in_transit": self._adapters.max_in_transit,
        }
        return {**self.counts, **in_transit}

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Run a transfer and answer it, or refuse it."""
        kind = req.query.get("kind", "model")
        size_text = req.query.get("size_mib", "0")
        name = req.path.removeprefix("/weights/")
        is_valid_path = req.method == "GET" and req.path.startswith("/weights/") and name
        if not is_valid_path or kind not in ("model", "adapter") or not size_text.isdecimal():
            detail = "only GET /weights/<name>?size_mib=N&kind=model|adapter"
            await out.send(
                problem_response(Problem(404, "unknown_path", ExecutionStatus.NO, detail))
            )
            return
        self.counts[f"{kind}_requests"] += 1
        await asyncio.sleep(self.faults.delay_ms / 1000.0)
        if self.faults.down:
            self.counts["refused"] += 1
            await out.send(
                problem_response(
                    Problem(503, "down", ExecutionStatus.NO, "the weight store is down")
                )
            )
            return
        transfers = self._adapters if kind == "adapter" else self._models
        self.counts[f"{kind}_transfers"] += 1
        await transfers.run(self._work_s(kind, int(size_text)))
        self.counts[f"{kind}_completed"] += 1
        await out.send(HttpResponse.of_json({"name": name, "size_mib": int(size_text)}))

    def _work_s(self, kind: str, size_mib: int) -> float:
        options = self.options
        if kind == "adapter":
            return options.adapter_load_s
        loads = size_mib / options.mib_per_load if options.mib_per_load else 1.0
        return loads * options.slots / options.loads_per_s
