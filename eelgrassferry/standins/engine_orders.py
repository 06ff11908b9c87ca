"""Execution of engine orders: fencing, memory, loads and unloads.

Decisions the design leaves open: a lost order leaves no trace, so the same order sent again is a
new one. A refused order is answered with the same refusal when it is sent again; an order that may
work later needs a new id. A delayed order counts as still on its way: it survives a crash of the
engine, is checked when it arrives (fence, memory), and shows in the status only then. An unload
first takes the model out of service, then waits for the requests that use it, and only then frees
the memory. Unloading the last version of a model unloads its adapters.
"""

import asyncio
import dataclasses
from collections import Counter, OrderedDict
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import quote, urlencode

from result import Err

from ..http import ExecutionStatus, HttpClient, HttpResponse, Problem
from .engine_memory import EngineMemory, Resident, ResidentState
from .engine_options import EngineFaults, EngineOptions
from .engine_order import EngineOrder, OrderKind
from .standin import refusal

__all__ = ["EngineOrders"]

KEEP_ORDERS = 1024
LOAD_TIMEOUT_S = 3600.0
POLL_S = 0.005


class EngineOrders:
    """Runs the engine orders of one engine against its memory."""

    def __init__(
        self,
        options: EngineOptions,
        memory: EngineMemory,
        counts: Counter[str],
        read_faults: Callable[[], EngineFaults],
        set_faults: Callable[[EngineFaults], None],
    ) -> None:
        self._options = options
        self._memory = memory
        self._counts = counts
        self._read_faults = read_faults
        self._set_faults = set_faults
        self._client = HttpClient()
        self._answers: dict[str, HttpResponse] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._arriving: set[asyncio.Task[None]] = set()
        self.reachable = True
        # Each order is running, done, failed or refused.
        self.states: OrderedDict[str, str] = OrderedDict()
        self.fence = 0
        self.role = ""

    def receive(self, order: EngineOrder) -> HttpResponse:
        """Answer an order, and start it where it is accepted."""
        answered = self._answers.get(order.order_id)
        if answered is not None:
            self._counts["duplicate_orders"] += 1
            return answered
        refused = self._check_fence(order)
        if refused is not None:
            return self._refuse(order, refused)
        faults = self._read_faults()
        if faults.lose_orders > 0:
            self._set_faults(dataclasses.replace(faults, lose_orders=faults.lose_orders - 1))
            self._counts["lost_orders"] += 1
            return self._accepted(order)
        if faults.delay_orders_s > 0:
            self._counts["delayed_orders"] += 1
            self._spawn(self._arrive_later(order, faults.delay_orders_s), self._arriving)
            return self._accepted(order)
        return self._arrive(order)

    def clear(self) -> None:
        """Forget all orders, the fence and the role, as a restart does."""
        for task in self._tasks:
            task.cancel()
        self._answers.clear()
        self.states.clear()
        self.fence = 0
        self.role = ""

    async def close(self) -> None:
        """Stop all loads and forget delayed orders."""
        self.clear()
        for task in self._arriving:
            task.cancel()
        pending = self._tasks | self._arriving
        if pending:
            await asyncio.wait(pending)
        self._client.close()

    async def _arrive_later(self, order: EngineOrder, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.reachable and order.order_id not in self._answers:
            self._arrive(order)

    def _arrive(self, order: EngineOrder) -> HttpResponse:
        """Carry out an order that has reached the engine."""
        refused = self._check_fence(order) or self._apply(order)
        if refused is not None:
            return self._refuse(order, refused)
        if self._options.checks_fence:
            self.fence = max(self.fence, order.fence)
        self._counts["orders"] += 1
        response = self._accepted(order)
        self._answers[order.order_id] = response
        return response

    def _check_fence(self, order: EngineOrder) -> Problem | None:
        if not self._options.checks_fence or order.fence >= self.fence:
            return None
        self._counts["stale_orders"] += 1
        detail = f"fencing number {order.fence} is older than {self.fence}"
        return Problem(409, "stale_fence", ExecutionStatus.NO, detail)

    def _apply(self, order: EngineOrder) -> Problem | None:
        match order.kind:
            case OrderKind.LOAD_MODEL | OrderKind.LOAD_ADAPTER:
                return self._load(order)
            case OrderKind.UNLOAD_MODEL | OrderKind.UNLOAD_ADAPTER:
                return self._unload(order)
            case OrderKind.SET_ROLE:
                if order.name != self.role:
                    self._counts["role_changes"] += 1
                self.role = order.name
        self._set_state(order, "done")
        return None

    def _load(self, order: EngineOrder) -> Problem | None:
        adapter = order.kind is OrderKind.LOAD_ADAPTER
        held = self._memory.get(order.name, order.version)
        if held is not None and held.state == ResidentState.UNLOADING:
            return Problem(422, "unloading", ExecutionStatus.NO, f"{order.name} is being unloaded")
        if held is not None:
            self._set_state(order, "running")
            self._spawn(self._follow_load(order))
            return None
        if adapter and order.base and self._memory.find_ready(order.base) is None:
            detail = f"the base model {order.base} is not resident"
            return Problem(422, "base_not_resident", ExecutionStatus.NO, detail)
        resident = Resident(order.name, order.version, order.memory_mib, adapter, order.base)
        match self._memory.reserve(resident):
            case Err(found):
                detail = f"{found.used_mib} + {found.asked_mib} of {found.memory_mib} MiB"
                return Problem(507, "overcommit", ExecutionStatus.NO, detail)
        self._counts["adapter_loads" if adapter else "loads"] += 1
        self._set_state(order, "running")
        self._spawn(self._run_load(order, resident))
        return None

    async def _run_load(self, order: EngineOrder, resident: Resident) -> None:
        loaded = await self._fetch(resident)
        await self._wait_while(lambda: self._read_faults().freeze)
        if loaded:
            self._memory.set_state(resident, ResidentState.READY)
        else:
            self._counts["failed_loads"] += 1
            self._memory.release(resident)
        self._set_state(order, "done" if loaded else "failed")

    async def _follow_load(self, order: EngineOrder) -> None:
        """Take over the outcome of the load of the same version that another order started."""

        def is_loading() -> bool:
            held = self._memory.get(order.name, order.version)
            return held is not None and held.state == ResidentState.LOADING

        await self._wait_while(is_loading)
        loaded = self._memory.find_ready(order.name, order.version) is not None
        self._set_state(order, "done" if loaded else "failed")

    async def _fetch(self, resident: Resident) -> bool:
        options = self._options
        if not options.store:
            await asyncio.sleep(options.adapter_load_s if resident.adapter else options.load_s)
            return True
        kind = "adapter" if resident.adapter else "model"
        sizes = {"size_mib": resident.memory_mib, "kind": kind, "version": resident.version}
        target = f"/weights/{quote(resident.name, safe='')}?{urlencode(sizes)}"
        fetched = await self._client.request(
            options.store, "GET", target, timeout_s=LOAD_TIMEOUT_S, new_connection=True
        )
        return fetched.map_or(False, lambda response: response.status == 200)

    def _unload(self, order: EngineOrder) -> Problem | None:
        resident = self._memory.get(order.name, order.version)
        if resident is None:
            self._set_state(order, "done")
            return None
        if resident.state == ResidentState.LOADING:
            return Problem(
                422, "loading", ExecutionStatus.NO, f"{order.name} is still being loaded"
            )
        leaving = [resident]
        others = [r for r in self._memory.residents if r.name == resident.name]
        if not resident.adapter and len(others) == 1:
            leaving += self._memory.adapters_of(resident.name)
        for left in leaving:
            if left.state == ResidentState.READY:
                self._counts["adapter_unloads" if left.adapter else "unloads"] += 1
            self._memory.set_state(left, ResidentState.UNLOADING)
        self._set_state(order, "running")
        self._spawn(self._run_unload(order, leaving))
        return None

    async def _run_unload(self, order: EngineOrder, leaving: list[Resident]) -> None:
        keys = [resident.key for resident in leaving]
        await self._wait_while(lambda: any(self._memory.users(key) for key in keys))
        for resident in leaving:
            self._memory.release(resident)
        self._set_state(order, "done")

    @staticmethod
    async def _wait_while(holds: Callable[[], bool]) -> None:
        while holds():
            await asyncio.sleep(POLL_S)

    def _refuse(self, order: EngineOrder, problem: Problem) -> HttpResponse:
        self._counts[f"refused_orders.{problem.reason}"] += 1
        self._set_state(order, "refused")
        response = self._answers[order.order_id] = refusal(problem)
        return response

    @staticmethod
    def _accepted(order: EngineOrder) -> HttpResponse:
        return HttpResponse.of_json({"order_id": order.order_id, "state": "accepted"}, 202)

    def _set_state(self, order: EngineOrder, state: str) -> None:
        self.states[order.order_id] = state
        while len(self.states) > KEEP_ORDERS:
            dropped, _ = self.states.popitem(last=False)
            self._answers.pop(dropped, None)

    def _spawn(
        self, work: Coroutine[Any, Any, None], tasks: set[asyncio.Task[None]] | None = None
    ) -> None:
        kept = self._tasks if tasks is None else tasks
        task = asyncio.ensure_future(work)
        kept.add(task)
        task.add_done_callback(kept.discard)
