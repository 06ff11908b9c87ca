"""Execution of engine orders: fencing, memory, loads and unloads.

The design leaves some cases open, which are decided as follows:

- A lost order is not recorded, so that the same order sent again is a new one.
- A refused order that is sent again gets the same refusal. An order that may succeed later needs
  a new order id.
- A delayed order counts as in transit: it survives a crash of the engine, its fencing number and
  memory size are checked on arrival, and it appears in the status only then.
- An unload first stops new requests for the model, then waits for the requests that use it, and
  then frees the memory.
- The unload of the last version of a model also unloads its adapters.
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
from .standin import problem_response

__all__ = ["EngineOrders"]

MAX_RECORDED_ORDERS = 1024
LOAD_TIMEOUT_S = 3600.0
POLL_INTERVAL_S = 0.005


class EngineOrders:
    """Executor of the engine orders of one engine.

    ``states`` maps an order id to ``running``, ``done``, ``failed`` or ``refused``; the oldest
    orders are dropped beyond ``MAX_RECORDED_ORDERS``. While ``reachable`` is False, delayed orders
    that arrive are lost.
    """

    def __init__(
        self,
        options: EngineOptions,
        memory: EngineMemory,
        counts: Counter[str],
        get_faults: Callable[[], EngineFaults],
        set_faults: Callable[[EngineFaults], None],
    ) -> None:
        self._options = options
        self._memory = memory
        self._counts = counts
        self._get_faults = get_faults
        self._set_faults = set_faults
        self._client = HttpClient()
        self._responses: dict[str, HttpResponse] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._delayed_tasks: set[asyncio.Task[None]] = set()
        self.reachable = True
        self.states: OrderedDict[str, str] = OrderedDict()
        self.fence = 0
        self.role = ""

    def receive(self, order: EngineOrder) -> HttpResponse:
        """Return the response to an order, and start the order if it is accepted.

        An order id that was already answered gets the same response again.
        """
        earlier = self._responses.get(order.order_id)
        if earlier is not None:
            self._counts["duplicate_orders"] += 1
            return earlier
        refused = self._check_fence(order)
        if refused is not None:
            return self._refuse(order, refused)
        faults = self._get_faults()
        if faults.lose_orders > 0:
            self._set_faults(dataclasses.replace(faults, lose_orders=faults.lose_orders - 1))
            self._counts["lost_orders"] += 1
            return self._accepted_response(order)
        if faults.delay_orders_s > 0:
            self._counts["delayed_orders"] += 1
            self._spawn(
                self._execute_after_delay(order, faults.delay_orders_s), self._delayed_tasks
            )
            return self._accepted_response(order)
        return self._execute(order)

    def clear(self) -> None:
        """Remove all orders, the fencing number and the role, as a restart does."""
        for task in self._tasks:
            task.cancel()
        self._responses.clear()
        self.states.clear()
        self.fence = 0
        self.role = ""

    async def close(self) -> None:
        """Cancel all loads, unloads and delayed orders."""
        self.clear()
        for task in self._delayed_tasks:
            task.cancel()
        pending = self._tasks | self._delayed_tasks
        if pending:
            await asyncio.wait(pending)
        self._client.close()

    async def _execute_after_delay(self, order: EngineOrder, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.reachable and order.order_id not in self._responses:
            self._execute(order)

    def _execute(self, order: EngineOrder) -> HttpResponse:
        """Check and start an order that has arrived at the engine."""
        refused = self._check_fence(order) or self._start(order)
        if refused is not None:
            return self._refuse(order, refused)
        if self._options.checks_fence:
            self.fence = max(self.fence, order.fence)
        self._counts["orders"] += 1
        response = self._accepted_response(order)
        self._responses[order.order_id] = response
        return response

    def _check_fence(self, order: EngineOrder) -> Problem | None:
        if not self._options.checks_fence or order.fence >= self.fence:
            return None
        self._counts["stale_orders"] += 1
        detail = f"fencing number {order.fence} is older than {self.fence}"
        return Problem(409, "stale_fence", ExecutionStatus.NO, detail)

    def _start(self, order: EngineOrder) -> Problem | None:
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
        existing = self._memory.get(order.name, order.version)
        if existing is not None and existing.state == ResidentState.UNLOADING:
            return Problem(422, "unloading", ExecutionStatus.NO, f"{order.name} is being unloaded")
        if existing is not None:
            self._set_state(order, "running")
            self._spawn(self._await_other_load(order))
            return None
        if adapter and order.base and self._memory.find_ready(order.base) is None:
            detail = f"the base model {order.base} is not resident"
            return Problem(422, "base_not_resident", ExecutionStatus.NO, detail)
        resident = Resident(order.name, order.version, order.memory_mib, adapter, order.base)
        match self._memory.reserve(resident):
            case Err(error):
                detail = f"{error.used_mib} + {error.requested_mib} of {error.memory_mib} MiB"
                return Problem(507, "overcommit", ExecutionStatus.NO, detail)
        self._counts["adapter_loads" if adapter else "loads"] += 1
        self._set_state(order, "running")
        self._spawn(self._run_load(order, resident))
        return None

    async def _run_load(self, order: EngineOrder, resident: Resident) -> None:
        loaded = await self._fetch_weights(resident)
        await self._wait_while(lambda: self._get_faults().freeze)
        if loaded:
            self._memory.set_state(resident, ResidentState.READY)
        else:
            self._counts["failed_loads"] += 1
            self._memory.release(resident)
        self._set_state(order, "done" if loaded else "failed")

    async def _await_other_load(self, order: EngineOrder) -> None:
        """Wait for the load of the same version by another order, and adopt its outcome."""

        def is_loading() -> bool:
            existing = self._memory.get(order.name, order.version)
            return existing is not None and existing.state == ResidentState.LOADING

        await self._wait_while(is_loading)
        loaded = self._memory.find_ready(order.name, order.version) is not None
        self._set_state(order, "done" if loaded else "failed")

    async def _fetch_weights(self, resident: Resident) -> bool:
        options = self._options
        if not options.store:
            await asyncio.sleep(options.adapter_load_s if resident.adapter else options.load_s)
            return True
        kind = "adapter" if resident.adapter else "model"
        query = {"size_mib": resident.memory_mib, "kind": kind, "version": resident.version}
        target = f"/weights/{quote(resident.name, safe='')}?{urlencode(query)}"
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
        unloading = [resident]
        versions = [r for r in self._memory.residents if r.name == resident.name]
        if not resident.adapter and len(versions) == 1:
            unloading += self._memory.adapters_of(resident.name)
        for affected in unloading:
            if affected.state == ResidentState.READY:
                self._counts["adapter_unloads" if affected.adapter else "unloads"] += 1
            self._memory.set_state(affected, ResidentState.UNLOADING)
        self._set_state(order, "running")
        self._spawn(self._run_unload(order, unloading))
        return None

    async def _run_unload(self, order: EngineOrder, unloading: list[Resident]) -> None:
        keys = [resident.key for resident in unloading]
        await self._wait_while(lambda: any(self._memory.user_count(key) for key in keys))
        for resident in unloading:
            self._memory.release(resident)
        self._set_state(order, "done")

    @staticmethod
    async def _wait_while(condition: Callable[[], bool]) -> None:
        while condition():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _refuse(self, order: EngineOrder, problem: Problem) -> HttpResponse:
        self._counts[f"refused_orders.{problem.reason}"] += 1
        self._set_state(order, "refused")
        response = self._responses[order.order_id] = problem_response(problem)
        return response

    @staticmethod
    def _accepted_response(order: EngineOrder) -> HttpResponse:
        return HttpResponse.of_json({"order_id": order.order_id, "state": "accepted"}, 202)

    def _set_state(self, order: EngineOrder, state: str) -> None:
        self.states[order.order_id] = state
        while len(self.states) > MAX_RECORDED_ORDERS:
            oldest, _ = self.states.popitem(last=False)
            self._responses.pop(oldest, None)

    def _spawn(
        self, coro: Coroutine[Any, Any, None], tasks: set[asyncio.Task[None]] | None = None
    ) -> None:
        task_set = self._tasks if tasks is None else tasks
        task = asyncio.ensure_future(coro)
        task_set.add(task)
        task.add_done_callback(task_set.discard)
