"""Stand-in of the weight store."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem, Responder
from .standin import Standin, refusal
from .transfers import Transfers

__all__ = ["StoreFaults", "StoreOptions", "StoreStandin"]


@dataclass(frozen=True)
class StoreOptions:
    """``slots`` model transfers run at full speed and make ``loads_per_s`` loads a second.

    With ``mib_per_load`` a transfer takes the time of ``size_mib / mib_per_load`` loads; with 0
    every transfer is one load. An adapter takes ``adapter_load_s`` while at most
    ``adapter_slots`` are in transit.
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
    """``down`` refuses new transfers and cuts those in progress; ``delay_ms`` comes before each."""

    down: bool = False
    delay_ms: float = 0.0


class StoreStandin(Standin[StoreFaults]):
    """Holds ``GET /weights/<name>?size_mib=N&kind=model|adapter`` open for the transfer time.

    ``kind`` is ``model`` where it is missing. Beyond the slots each transfer gets proportionally
    slower, the ones in progress included.
    """

    def __init__(self, options: StoreOptions | None = None) -> None:
        self.options = options or StoreOptions()
        super().__init__(self.options.host, self.options.port, StoreFaults())
        self._models = Transfers(self.options.slots)
        self._adapters = Transfers(self.options.adapter_slots)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the fault switches."""
        super().set_faults(faults)
        if faults.down:
            self._models.cut()
            self._adapters.cut()

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``."""
        in_transit = {
            "max_models_in_transit": self._models.max_in_transit,
            "max_adapters_in_transit": self._adapters.max_in_transit,
        }
        return {**self.counts, **in_transit}

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Answer one transfer."""
        kind = req.query.get("kind", "model")
        size_text = req.query.get("size_mib", "0")
        name = req.path.removeprefix("/weights/")
        known = req.method == "GET" and req.path.startswith("/weights/") and name
        if not known or kind not in ("model", "adapter") or not size_text.isdecimal():
            detail = "only GET /weights/<name>?size_mib=N&kind=model|adapter"
            await out.send(refusal(Problem(404, "unknown_path", ExecutionStatus.NO, detail)))
            return
        self.counts[f"{kind}_requests"] += 1
        await asyncio.sleep(self.faults.delay_ms / 1000.0)
        if self.faults.down:
            self.counts["refused"] += 1
            await out.send(
                refusal(Problem(503, "down", ExecutionStatus.NO, "the weight store is down"))
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
