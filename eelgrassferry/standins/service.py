"""Stand-in for one plain service, which does not run models."""

import asyncio
import dataclasses
import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem, Responder
from .standin import Standin, problem_response

__all__ = ["ServiceFaults", "ServiceOptions", "ServiceStandin"]

# A leaving host must not receive new requests after this time; later ones are counted.
LEAVING_GRACE_S = 3.0


@dataclass(frozen=True)
class ServiceOptions:
    """Options of one service, which runs up to ``concurrency`` requests for ``service_s`` each."""

    host: str = "127.0.0.1"
    port: int = 0
    name: str = "service"
    service_s: float = 0.05
    concurrency: int = 16


@dataclass(frozen=True)
class ServiceFaults:
    """Fault switches of the service.

    ``down`` closes connections without an answer and without running the request. ``delay_ms`` is
    added to the service time. The next ``lose_answers`` orders run, and their connections are
    closed without an answer. ``refuse`` refuses all requests as not run. Requests that arrive more
    than 3 s after ``leaving`` is set are counted as ``late_requests``.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    refuse: bool = False
    leaving: bool = False


class ServiceStandin(Standin[ServiceFaults]):
    """A simulated service that counts the runs of each order by its ``Idempotency-Key``.

    An order is a request with a method other than ``GET`` and ``HEAD``. It is counted when it
    starts, even if its caller never gets the answer. The service does not deduplicate: an order
    with a known key runs again. Orders without a key are counted under the empty key.
    """

    def __init__(self, options: ServiceOptions | None = None) -> None:
        self.options = options or ServiceOptions()
        super().__init__(self.options.host, self.options.port, ServiceFaults())
        self.orders: Counter[str] = Counter()
        self._running = 0
        self._leaving_since_s = 0.0

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replace the fault switches and record when ``leaving`` is set."""
        if faults.leaving and not self.faults.leaving:
            self._leaving_since_s = asyncio.get_running_loop().time()
        super().set_faults(faults)

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``; ``orders`` maps each key to its number of runs."""
        return {**self.counts, "orders": dict(self.orders)}

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Run a request, or refuse it."""
        self._count_late_request()
        if self.faults.down:
            self.counts["cut"] += 1
            raise ConnectionResetError("fault: the service is down")
        refused = self._check_availability()
        if refused is not None:
            self.counts[f"refused.{refused.reason}"] += 1
            await out.send(problem_response(refused))
            return
        is_order = req.method not in ("GET", "HEAD")
        key = req.header("idempotency-key") or ""
        self.counts["requests"] += 1
        if is_order:
            self.orders[key] += 1
        self._running += 1
        try:
            await asyncio.sleep(self.options.service_s + self.faults.delay_ms / 1000.0)
        finally:
            self._running -= 1
        if is_order and self.faults.lose_answers > 0:
            remaining = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=remaining)
            self.counts["answers_lost"] += 1
            raise ConnectionResetError("fault: the answer is lost")
        await out.send(self._answer(req, key))

    def _count_late_request(self) -> None:
        leaving_for_s = asyncio.get_running_loop().time() - self._leaving_since_s
        if self.faults.leaving and leaving_for_s > LEAVING_GRACE_S:
            self.counts["late_requests"] += 1

    def _check_availability(self) -> Problem | None:
        if self.faults.refuse:
            return Problem(503, "refused", ExecutionStatus.NO, "fault: the service refuses")
        if self._running >= self.options.concurrency:
            return Problem(503, "full", ExecutionStatus.NO, f"{self._running} requests are running")
        return None

    def _answer(self, req: HttpRequest, key: str) -> HttpResponse:
        """Return an answer that repeats the request, so that a test detects a mixed-up answer."""
        headers = tuple((h, v) for h in ("x-request-id",) if (v := req.header(h)))
        if req.method == "GET" and req.path.startswith("/status/"):
            state = {"id": req.path.removeprefix("/status/"), "state": "known"}
            return HttpResponse.of_json(state, headers=headers)
        answer = {
            "service": self.options.name,
            "method": req.method,
            "path": req.path,
            "key": key,
            "body_sha256": hashlib.sha256(req.body).hexdigest(),
        }
        status = 201 if req.method == "POST" else 200
        return HttpResponse.of_json(answer, status, headers)
