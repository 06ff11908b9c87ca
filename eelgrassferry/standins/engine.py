"""Stand-in of one model engine."""

import asyncio
import hmac
import json
import secrets
import socket
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok

from ..http import ExecutionStatus, HttpRequest, HttpResponse, HttpServer, Problem, Responder
from .completion import parse_completion
from .engine_memory import EngineMemory, Resident, ResidentState
from .engine_options import EngineFaults, EngineOptions
from .engine_order import parse_order
from .engine_orders import EngineOrders
from .engine_run import EngineRun
from .load_history import LoadHistory
from .standin import Standin, refusal

__all__ = ["EngineStandin"]

# A host that leaves must get no new work later than this.
LEAVE_LIMIT_S = 3.0


class EngineStandin(Standin[EngineFaults]):
    """Serves the engine interface of design section 7 with its own speeds and memory.

    A crash empties the memory, the cache, the orders and the fence; the counts stay, so that a
    test can read them afterwards. ``instance`` in the status changes with each start.

    >>> engine = EngineStandin(EngineOptions(memory_mib=24000, preload=("m1:1:8000",)))
    >>> # await engine.start(); engine.address; await engine.close()
    """

    def __init__(self, options: EngineOptions | None = None) -> None:
        self.options = options or EngineOptions()
        super().__init__(self.options.host, self.options.port, EngineFaults())
        self.memory = EngineMemory(self.options.memory_mib)
        read = self._read_faults
        self.orders = EngineOrders(self.options, self.memory, self.counts, read, self.set_faults)
        self.run = EngineRun(
            self.options, self.memory, self.counts, read, self.set_faults, self._note_crash
        )
        self.instance = secrets.token_hex(8)
        self._history = LoadHistory(self.options.load_lag_s)
        self._requests = 0
        self._left_at_s: float | None = None
        self._crash: asyncio.Task[None] | None = None
        self._sampler: asyncio.Task[None] | None = None
        self._port_holder: socket.socket | None = None

    async def start(self) -> None:
        """Hold a port for the engine's whole life, load ``preload``, and start to serve."""
        # The holder keeps the port while a crashed engine refuses connections: it is bound and
        # does not listen, and both sockets carry SO_REUSEADDR.
        self._port_holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind((self.options.host, self.options.port))
        for spec in self.options.preload:
            name, version, memory_mib = spec.split(":")
            resident = Resident(name, version, int(memory_mib), state=ResidentState.READY)
            if isinstance(self.memory.reserve(resident), Err):
                raise ValueError(f"preload {spec!r} does not fit into the memory")
        await self._listen()
        self.run.start()
        self._sampler = self._spawn(self._sample_load())

    async def close(self, grace_s: float | None = 5.0) -> None:
        """Finish requests in flight for up to ``grace_s`` and stop."""
        if self._crash is not None:
            self._crash.cancel()
        await super().close(grace_s)
        await self.run.stop()
        await self.orders.close()
        if self._sampler is not None:
            self._sampler.cancel()
        if self._port_holder is not None:
            self._port_holder.close()

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the fault switches."""
        if faults.leaving and not self.faults.leaving:
            self._left_at_s = asyncio.get_running_loop().time()
        super().set_faults(faults)

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``; counts that are still 0 may be absent.

        ``overcommits``, ``max_used_mib``, ``crashes``, ``tokens`` and ``digests`` (starts of each
        request digest) are always there.
        """
        memory = self.memory
        fixed = {
            "overcommits": memory.overcommits,
            "max_used_mib": memory.max_used_mib,
            "memory_mib": memory.memory_mib,
            "crashes": self.counts["crashes"],
            "tokens": self.run.batch.tokens,
            "digests": dict(self.run.digests),
        }
        return {**self.counts, **fixed}

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Answer a completion or an administrative call."""
        match req.method, req.path:
            case "POST", "/v1/completions":
                await self._complete(req, out, chat=False)
            case "POST", "/v1/chat/completions":
                await self._complete(req, out, chat=True)
            case "POST", "/v1/cancel":
                await out.send(self._cancel(req.body))
            case "POST", "/admin/orders":
                await out.send(self._receive_order(req))
            case "GET", "/admin/status":
                await out.send(HttpResponse.of_json(self.read_status()))
            case "GET", "/admin/load":
                await out.send(HttpResponse.of_json(self._read_load()))
            case "GET", "/admin/events":
                await out.send(self._read_events(req))
            case "GET", "/healthz":
                await out.send(HttpResponse(200, (), b"ok\n"))
            case method, path:
                problem = Problem(
                    404, "unknown_path", ExecutionStatus.NO, f"{method} {path} does not exist"
                )
                await out.send(refusal(problem))

    def read_status(self) -> dict[str, Any]:
        """Return the exact status; ``residents`` includes those that are being unloaded."""
        loading, residents = [], []
        for resident in self.memory.residents:
            entries = loading if resident.state == ResidentState.LOADING else residents
            entries.append(resident.to_json(self.memory.users(resident.key)))
        batch = self.run.batch
        return {
            "name": self.options.name,
            "instance": self.instance,
            "state": "leaving" if self.faults.leaving else "live",
            "role": self.orders.role,
            "fence": self.orders.fence,
            "memory_mib": self.memory.memory_mib,
            "used_mib": self.memory.used_mib,
            "residents": residents,
            "loading": loading,
            "orders": dict(self.orders.states),
            "running": batch.running,
            "queued": batch.queued,
            "queued_urgent": batch.queued_urgent,
        }

    async def _complete(self, req: HttpRequest, out: Responder, *, chat: bool) -> None:
        self._requests += 1
        request_id = req.header("x-request-id") or f"{self.options.name}-{self._requests}"
        now_s = asyncio.get_running_loop().time()
        left_at_s = self._left_at_s
        if self.faults.leaving and left_at_s is not None and now_s - left_at_s > LEAVE_LIMIT_S:
            self.counts["late_requests"] += 1
        match parse_completion(req, request_id, chat=chat):
            case Err(problem):
                self.counts[f"refused.{problem.reason}"] += 1
                await out.send(refusal(problem))
            case Ok(completion):
                await self.run.answer(completion, out)

    def _cancel(self, body: bytes) -> HttpResponse:
        try:
            request_id = json.loads(body)["request_id"]
        except (ValueError, KeyError, TypeError):
            detail = "a JSON object with request_id is needed"
            return refusal(Problem(400, "bad_request", ExecutionStatus.NO, detail))
        jobs = self.run.batch.find(request_id)
        for job in jobs:
            self.run.batch.cancel(job)
        return HttpResponse.of_json({"cancelled": len(jobs)})

    def _receive_order(self, req: HttpRequest) -> HttpResponse:
        sent = (req.header("authorization") or "").encode()
        wanted = f"Bearer {self.options.token}".encode()
        if self.options.token and not hmac.compare_digest(sent, wanted):
            self.counts["unauthorized_orders"] += 1
            problem = Problem(
                401, "unauthorized", ExecutionStatus.NO, "the bearer token is wrong or missing"
            )
            return refusal(problem)
        match parse_order(req.body):
            case Err(problem):
                return refusal(problem)
            case Ok(order):
                return self.orders.receive(order)

    def _read_load(self) -> dict[str, Any]:
        if self.options.load_lag_s <= 0:
            return self.read_status()
        return self._history.read(asyncio.get_running_loop().time()) or self.read_status()

    def _read_events(self, req: HttpRequest) -> HttpResponse:
        after_text = req.query.get("after", "0")
        if not after_text.isdecimal():
            return refusal(Problem(400, "bad_query", ExecutionStatus.NO, "after must be a number"))
        after = int(after_text)
        until_s = asyncio.get_running_loop().time() - self.options.event_lag_s
        events = [event.to_json() for event in self.run.cache.read_events(after, until_s)]
        if self.faults.duplicate_events:
            events = [event for event in events for _ in range(2)]
        newest = max((event["seq"] for event in events), default=after)
        return HttpResponse.of_json({"events": events, "next": newest})

    async def _sample_load(self) -> None:
        lag_s = self.options.load_lag_s
        while lag_s > 0:
            self._history.add(self.read_status(), asyncio.get_running_loop().time())
            await asyncio.sleep(max(lag_s / 4, 0.02))

    def _note_crash(self) -> None:
        if self._crash is None:
            self._crash = self._spawn(self._run_crash())

    async def _run_crash(self) -> None:
        """Cut all connections, lose all state, and serve again after the restart time."""
        self.counts["crashes"] += 1
        self.run.batch.clear()
        self.orders.reachable = False
        await self._server.close(0)
        await self.run.stop()
        self.orders.clear()
        self.memory.clear()
        self.run.cache.clear(asyncio.get_running_loop().time())
        self._history.clear()
        await asyncio.sleep(self.options.restart_s)
        self.instance = secrets.token_hex(8)
        self.run.start()
        await self._listen()
        self.orders.reachable = True
        self._crash = None

    async def _listen(self) -> None:
        assert self._port_holder is not None
        host, port = self._port_holder.getsockname()[:2]
        self._server = HttpServer(self._serve, host=host, port=port)
        await self._server.start()

    def _read_faults(self) -> EngineFaults:
        return self.faults

    @staticmethod
    def _spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        return asyncio.ensure_future(work)
