"""Stand-in for one model engine."""

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
from .completion_runner import CompletionRunner
from .engine_memory import EngineMemory, Resident, ResidentState
from .engine_options import EngineFaults, EngineOptions
from .engine_order import parse_order
from .engine_orders import EngineOrders
from .load_history import LoadHistory
from .standin import Standin, problem_response

__all__ = ["EngineStandin"]

# A leaving host must not receive new requests after this time; later ones are counted.
LEAVING_GRACE_S = 3.0


class EngineStandin(Standin[EngineFaults]):
    """A simulated engine with the interface of section 7 of the design.

    Its speeds and its memory size come from the options. A crash clears the memory, the prefix
    cache, the orders and the fencing number. It keeps the counts, so that a test can read them
    afterwards. ``instance`` in the status changes with each start.

    >>> engine = EngineStandin(EngineOptions(memory_mib=24000, preload=("m1:1:8000",)))
    >>> # await engine.start(); engine.address; await engine.close()
    """

    def __init__(self, options: EngineOptions | None = None) -> None:
        self.options = options or EngineOptions()
        super().__init__(self.options.host, self.options.port, EngineFaults())
        self.memory = EngineMemory(self.options.memory_mib)
        get_faults = self._get_faults
        self.orders = EngineOrders(
            self.options, self.memory, self.counts, get_faults, self.set_faults
        )
        self.runner = CompletionRunner(
            self.options, self.memory, self.counts, get_faults, self.set_faults, self._start_crash
        )
        self.instance = secrets.token_hex(8)
        self._load_history = LoadHistory(self.options.load_lag_s)
        self._request_count = 0
        self._leaving_since_s: float | None = None
        self._crash_task: asyncio.Task[None] | None = None
        self._sampler_task: asyncio.Task[None] | None = None
        self._port_reservation: socket.socket | None = None

    async def start(self) -> None:
        """Reserve a port, make the ``preload`` models resident, and start to serve.

        Raises ``ValueError`` if these models exceed the memory.
        """
        # This socket reserves the port while a crashed engine refuses connections. It is bound
        # but does not listen; with SO_REUSEADDR on both sockets the server can bind the port too.
        self._port_reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.bind((self.options.host, self.options.port))
        for spec in self.options.preload:
            name, version, memory_mib = spec.split(":")
            resident = Resident(name, version, int(memory_mib), state=ResidentState.READY)
            if isinstance(self.memory.reserve(resident), Err):
                raise ValueError(f"preload {spec!r} exceeds the memory")
        await self._listen()
        self.runner.start()
        self._sampler_task = self._spawn(self._sample_load())

    async def close(self, grace_s: float | None = 5.0) -> None:
        """Stop accepting, wait up to ``grace_s`` seconds for requests in flight, and stop."""
        if self._crash_task is not None:
            self._crash_task.cancel()
        await super().close(grace_s)
        await self.runner.stop()
        await self.orders.close()
        if self._sampler_task is not None:
            self._sampler_task.cancel()
        if self._port_reservation is not None:
            self._port_reservation.close()

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the fault switches and record when ``leaving`` is set."""
        if faults.leaving and not self.faults.leaving:
            self._leaving_since_s = asyncio.get_running_loop().time()
        super().set_faults(faults)

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``.

        ``overcommits``, ``max_used_mib``, ``memory_mib``, ``crashes``, ``tokens`` and ``digests``
        are always present; other counts are absent while they are 0. ``digests`` maps each request
        digest to the number of its starts.
        """
        memory = self.memory
        fixed = {
            "overcommits": memory.overcommits,
            "max_used_mib": memory.max_used_mib,
            "memory_mib": memory.memory_mib,
            "crashes": self.counts["crashes"],
            "tokens": self.runner.batch.produced_tokens,
            "digests": dict(self.runner.digests),
        }
        return {**self.counts, **fixed}

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Answer a completion request or an administrative call."""
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
                await out.send(problem_response(problem))

    def read_status(self) -> dict[str, Any]:
        """Return the current status; ``residents`` includes those that are being unloaded."""
        loading, residents = [], []
        for resident in self.memory.residents:
            target = loading if resident.state == ResidentState.LOADING else residents
            target.append(resident.to_json(self.memory.user_count(resident.key)))
        batch = self.runner.batch
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
        self._request_count += 1
        request_id = req.header("x-request-id") or f"{self.options.name}-{self._request_count}"
        now_s = asyncio.get_running_loop().time()
        leaving_since_s = self._leaving_since_s
        if (
            self.faults.leaving
            and leaving_since_s is not None
            and now_s - leaving_since_s > LEAVING_GRACE_S
        ):
            self.counts["late_requests"] += 1
        match parse_completion(req, request_id, chat=chat):
            case Err(problem):
                self.counts[f"refused.{problem.reason}"] += 1
                await out.send(problem_response(problem))
            case Ok(completion):
                await self.runner.answer(completion, out)

    def _cancel(self, body: bytes) -> HttpResponse:
        try:
            request_id = json.loads(body)["request_id"]
        except (ValueError, KeyError, TypeError):
            detail = "a JSON object with request_id is needed"
            return problem_response(Problem(400, "bad_request", ExecutionStatus.NO, detail))
        jobs = self.runner.batch.find(request_id)
        for job in jobs:
            self.runner.batch.cancel(job)
        return HttpResponse.of_json({"cancelled": len(jobs)})

    def _receive_order(self, req: HttpRequest) -> HttpResponse:
        sent = (req.header("authorization") or "").encode()
        expected = f"Bearer {self.options.token}".encode()
        if self.options.token and not hmac.compare_digest(sent, expected):
            self.counts["unauthorized_orders"] += 1
            problem = Problem(
                401, "unauthorized", ExecutionStatus.NO, "the bearer token is wrong or missing"
            )
            return problem_response(problem)
        match parse_order(req.body):
            case Err(problem):
                return problem_response(problem)
            case Ok(order):
                return self.orders.receive(order)

    def _read_load(self) -> dict[str, Any]:
        if self.options.load_lag_s <= 0:
            return self.read_status()
        return self._load_history.read(asyncio.get_running_loop().time()) or self.read_status()

    def _read_events(self, req: HttpRequest) -> HttpResponse:
        after_text = req.query.get("after", "0")
        if not after_text.isdecimal():
            return problem_response(
                Problem(400, "bad_query", ExecutionStatus.NO, "after must be a number")
            )
        after = int(after_text)
        until_s = asyncio.get_running_loop().time() - self.options.event_lag_s
        events = [event.to_json() for event in self.runner.cache.read_events(after, until_s)]
        if self.faults.duplicate_events:
            events = [event for event in events for _ in range(2)]
        newest = max((event["seq"] for event in events), default=after)
        return HttpResponse.of_json({"events": events, "next": newest})

    async def _sample_load(self) -> None:
        lag_s = self.options.load_lag_s
        while lag_s > 0:
            self._load_history.add(self.read_status(), asyncio.get_running_loop().time())
            await asyncio.sleep(max(lag_s / 4, 0.02))

    def _start_crash(self) -> None:
        if self._crash_task is None:
            self._crash_task = self._spawn(self._crash_and_restart())

    async def _crash_and_restart(self) -> None:
        """Close all connections, clear the state, and serve again after ``restart_s`` seconds."""
        self.counts["crashes"] += 1
        self.runner.batch.clear()
        self.orders.reachable = False
        await self._server.close(0)
        await self.runner.stop()
        self.orders.clear()
        self.memory.clear()
        self.runner.cache.clear(asyncio.get_running_loop().time())
        self._load_history.clear()
        await asyncio.sleep(self.options.restart_s)
        self.instance = secrets.token_hex(8)
        self.runner.start()
        await self._listen()
        self.orders.reachable = True
        self._crash_task = None

    async def _listen(self) -> None:
        assert self._port_reservation is not None
        host, port = self._port_reservation.getsockname()[:2]
        self._server = HttpServer(self._serve, host=host, port=port)
        await self._server.start()

    def _get_faults(self) -> EngineFaults:
        return self.faults

    @staticmethod
    def _spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        return asyncio.ensure_future(work)
