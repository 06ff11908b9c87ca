"""Stand-in of one plain service."""

import asyncio
import dataclasses
import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..http import ExecutionStatus, HttpRequest, HttpResponse, Problem, Responder
from .standin import Standin, refusal

__all__ = ["ServiceFaults", "ServiceOptions", "ServiceStandin"]

# A host that leaves must get no new work later than this.
LEAVE_LIMIT_S = 3.0


@dataclass(frozen=True)
class ServiceOptions:
    """At most ``concurrency`` requests run at a time, each for ``service_s`` seconds."""

    host: str = "127.0.0.1"
    port: int = 0
    name: str = "service"
    service_s: float = 0.05
    concurrency: int = 16


@dataclass(frozen=True)
class ServiceFaults:
    """``down``: connections are closed without an answer and nothing runs.

    ``delay_ms`` is added to the service time. ``lose_answers``: the next orders run and their
    connections are closed without an answer. ``refuse``: all requests are refused as not run.
    After ``leaving``, requests that arrive more than 3 s later are counted as ``late_requests``.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    refuse: bool = False
    leaving: bool = False


class ServiceStandin(Standin[ServiceFaults]):
    """Runs every request, and counts each run of an order under its ``Idempotency-Key``.

    An order is a request other than ``GET`` and ``HEAD``. It counts as run from the moment it
    starts, whether its caller gets the answer or not, and a key that comes again runs again. An
    order without a key is counted under the empty key.
    """

    def __init__(self, options: ServiceOptions | None = None) -> None:
        self.options = options or ServiceOptions()
        super().__init__(self.options.host, self.options.port, ServiceFaults())
        self.orders: Counter[str] = Counter()
        self._running = 0
        self._left_at_s = 0.0

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replace the fault switches."""
        if faults.leaving and not self.faults.leaving:
            self._left_at_s = asyncio.get_running_loop().time()
        super().set_faults(faults)

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``; ``orders`` has the number of runs of each key."""
        return {**self.counts, "orders": dict(self.orders)}

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Run one request."""
        self._note_late()
        if self.faults.down:
            self.counts["cut"] += 1
            raise ConnectionResetError("fault: the service is down")
        refused = self._refuse()
        if refused is not None:
            self.counts[f"refused.{refused.reason}"] += 1
            await out.send(refusal(refused))
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
            left = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=left)
            self.counts["answers_lost"] += 1
            raise ConnectionResetError("fault: the answer is lost")
        await out.send(self._answer(req, key))

    def _note_late(self) -> None:
        waited_s = asyncio.get_running_loop().time() - self._left_at_s
        if self.faults.leaving and waited_s > LEAVE_LIMIT_S:
            self.counts["late_requests"] += 1

    def _refuse(self) -> Problem | None:
        if self.faults.refuse:
            return Problem(503, "refused", ExecutionStatus.NO, "fault: the service refuses")
        if self._running >= self.options.concurrency:
            return Problem(503, "full", ExecutionStatus.NO, f"{self._running} requests are running")
        return None

    def _answer(self, req: HttpRequest, key: str) -> HttpResponse:
        """Return an answer that names its request, so that a crossed answer shows."""
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
