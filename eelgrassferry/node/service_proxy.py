"""Proxy for calls to plain services.

Repeatable calls are retried at other upstreams; orders run at most once.
"""

import asyncio
import hashlib
import time
from dataclasses import dataclass

from result import Err, Ok, Result

from ..http import (
    ExecutionStatus,
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    Problem,
    Responder,
)
from ..metrics import Metrics
from ..orders import (
    InProgress,
    JournalFull,
    JournalUnavailable,
    KeyReused,
    NewAttempt,
    OrderJournal,
    OrderRefusal,
    Outcome,
    OutcomeUnknown,
    Replay,
)
from ..settings import Service
from .model_call import read_urgency
from .service_gate import ServiceGate
from .upstream_watch import UpstreamWatch

__all__ = ["ServiceProxy"]

# Hop-by-hop headers, which are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {"host", "connection", "content-length", "transfer-encoding", "keep-alive", "te", "upgrade"}
)
ORDER_POLL_PERIOD_S = 0.1
MAX_ATTEMPTS = 3
# Recorded for an order that was dispatched and whose answer was lost, so that a repeated request
# is answered "outcome_unknown" at once. No upstream answers with status 0.
UNKNOWN_OUTCOME = Outcome(0)


@dataclass(frozen=True)
class ServiceCall:
    """A call to a service. ``target`` is the path and query that the upstream receives."""

    request_id: str
    service: Service
    target: str
    req: HttpRequest
    urgent: bool

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class ServiceProxy:
    """Forwards calls to the upstreams of plain services.

    Calls that are not repeatable are orders: they need an ``Idempotency-Key`` header and are
    recorded in the order journal, so that each key runs at most once.
    """

    def __init__(
        self,
        gate: ServiceGate,
        journal: OrderJournal,
        watch: UpstreamWatch,
        client: HttpClient,
        metrics: Metrics,
    ) -> None:
        self._gate = gate
        self._journal = journal
        self._watch = watch
        self._client = client
        self._metrics = metrics
        self._orders: set[asyncio.Task[HttpResponse]] = set()

    async def serve(
        self, service: Service, target: str, req: HttpRequest, request_id: str, out: Responder
    ) -> None:
        """Serve one call and send its response to the caller."""
        urgent = read_urgency(req, any(target.startswith(p) for p in service.urgent_paths))
        if urgent is None:
            detail = "the Priority header has no urgency from 0 to 7"
            await out.send(
                self._refuse(400, "invalid_header", ExecutionStatus.NO, detail, request_id)
            )
            return
        call = ServiceCall(request_id, service, target, req, urgent)
        if service.is_repeatable(req.method, call.path):
            await out.send(await self._call_with_retries(call))
            return
        key = req.header("idempotency-key")
        if not key or len(key) > 200:
            detail = "this call needs an Idempotency-Key header of 1 to 200 characters"
            await out.send(
                self._refuse(400, "missing_idempotency_key", ExecutionStatus.NO, detail, request_id)
            )
            return
        # The order continues when its caller disconnects, so that its outcome is recorded.
        task = asyncio.ensure_future(self._serve_order(call, f"{service.name}/{key}"))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        await out.send(await asyncio.shield(task))

    async def finish_orders(self, grace_s: float) -> None:
        """Wait for orders in flight, up to ``grace_s`` seconds."""
        if self._orders:
            await asyncio.wait(set(self._orders), timeout=grace_s)

    async def _call_with_retries(self, call: ServiceCall) -> HttpResponse:
        tried: list[str] = []
        last = "no attempt was made"
        for _ in range(MAX_ATTEMPTS):
            async with self._gate.enter(call.service, call.request_id, call.urgent, tried) as slot:
                match slot:
                    case Err(refusal):
                        detail = (
                            f"{refusal.detail}; last failure: {last}" if tried else refusal.detail
                        )
                        ran = ExecutionStatus.UNKNOWN if tried else ExecutionStatus.NO
                        return self._refuse(503, refusal.reason, ran, detail, call.request_id)
                    case Ok(upstream):
                        sent = await self._send(call, upstream.name)
                        match sent:
                            case Ok(res) if not _did_not_run(res):
                                return self._to_response(call, res)
                            case Ok(res):
                                last = f"{upstream.name}: status {res.status}"
                            case Err(exc):
                                upstream.refused = not exc.sent
                                last = f"{upstream.name}: {exc.step}: {exc.detail}"
                        self._metrics.count("retried.service_failed")
                        tried.append(upstream.name)
        return self._refuse(502, "upstream_failed", ExecutionStatus.UNKNOWN, last, call.request_id)

    async def _serve_order(self, call: ServiceCall, key: str) -> HttpResponse:
        digest = _digest(call)
        deadline = time.monotonic() + call.service.timeout_s
        while True:
            begun = await self._journal.begin(key, digest)
            match begun:
                case Err(refusal):
                    # The journal has already counted the refusal in its metrics.
                    return _to_problem(refusal, call.request_id).to_response()
                case Ok(Replay(outcome)) if outcome != UNKNOWN_OUTCOME:
                    self._metrics.count("orders.replayed")
                    return _replay(outcome, call.request_id)
                case Ok(Replay() | OutcomeUnknown()):
                    detail = "an earlier attempt with this key started and its outcome is unknown"
                    return self._refuse(
                        409, "outcome_unknown", ExecutionStatus.UNKNOWN, detail, call.request_id
                    )
                case Ok(InProgress()):
                    if time.monotonic() > deadline:
                        detail = "an earlier request with this key is still running"
                        return self._refuse(
                            409,
                            "order_in_progress",
                            ExecutionStatus.UNKNOWN,
                            detail,
                            call.request_id,
                        )
                    await asyncio.sleep(ORDER_POLL_PERIOD_S)
                case Ok(NewAttempt(attempt)):
                    return await self._run_order(call, key, attempt)

    async def _run_order(self, call: ServiceCall, key: str, attempt: str) -> HttpResponse:
        """Dispatch a recorded order.

        The order is sent to another upstream only if it certainly did not run at the previous one.
        """
        tried: list[str] = []
        while True:
            async with self._gate.enter(call.service, call.request_id, call.urgent, tried) as slot:
                match slot:
                    case Err(refusal):
                        await self._journal.abandon(key, attempt)
                        detail = refusal.detail
                        return self._refuse(
                            503, refusal.reason, ExecutionStatus.NO, detail, call.request_id
                        )
                    case Ok(upstream):
                        sent = await self._send(call, upstream.name)
                        match sent:
                            case Ok(res) if not _did_not_run(res):
                                content_type = res.header("content-type") or ""
                                outcome = Outcome(res.status, res.body, content_type)
                                await self._journal.complete(key, attempt, outcome)
                                self._metrics.count("orders.done")
                                return self._to_response(call, res)
                            case Err(exc) if exc.sent:
                                await self._journal.complete(key, attempt, UNKNOWN_OUTCOME)
                                return self._answer_lost(call, upstream.name, exc)
                            case Err():
                                upstream.refused = True
                        self._metrics.count("retried.order_not_run")
                        tried.append(upstream.name)

    async def _send(self, call: ServiceCall, upstream: str) -> Result[HttpResponse, HttpError]:
        headers = tuple((k, v) for k, v in call.req.headers if k.lower() not in HOP_BY_HOP_HEADERS)
        return await self._client.request(
            self._watch.address_of(upstream),
            call.req.method,
            call.target,
            headers=(*headers, ("x-request-id", call.request_id)),
            body=call.req.body,
            timeout_s=call.service.timeout_s,
            new_connection=not call.service.is_repeatable(call.req.method, call.path),
        )

    def _answer_lost(self, call: ServiceCall, upstream: str, exc: HttpError) -> HttpResponse:
        self._metrics.count("orders.outcome_unknown")
        detail = f"the answer was lost ({exc.detail}); ask again with the same key"
        problem = Problem(
            502,
            "outcome_unknown",
            ExecutionStatus.UNKNOWN,
            detail,
            call.request_id,
            step=exc.step,
            peer=upstream,
        )
        return problem.to_response()

    def _refuse(
        self, status: int, reason: str, ran: ExecutionStatus, detail: str, request_id: str
    ) -> HttpResponse:
        self._metrics.count(f"refused.{reason}")
        retry_after_s = 1 if status == 503 else None
        return Problem(
            status, reason, ran, detail, request_id, retry_after_s, step="service"
        ).to_response()

    @staticmethod
    def _to_response(call: ServiceCall, res: HttpResponse) -> HttpResponse:
        headers = tuple((k, v) for k, v in res.headers if k.lower() not in HOP_BY_HOP_HEADERS)
        return HttpResponse(res.status, (*headers, ("x-request-id", call.request_id)), res.body)


def _did_not_run(res: HttpResponse) -> bool:
    return res.status == 503 and res.header("x-did-not-run") == "1"


def _digest(call: ServiceCall) -> str:
    text = f"{call.service.name}\0{call.req.method}\0{call.target}\0".encode() + call.req.body
    return hashlib.sha256(text).hexdigest()[:16]


def _replay(outcome: Outcome, request_id: str) -> HttpResponse:
    headers = (
        ("content-type", outcome.content_type or "application/octet-stream"),
        ("x-request-id", request_id),
        ("x-replayed", "without-body" if outcome.body_omitted else "whole"),
    )
    return HttpResponse(outcome.status, headers, outcome.body)


def _to_problem(refusal: OrderRefusal, request_id: str) -> Problem:
    """Return the problem document for a refused order, which has not run."""
    match refusal:
        case KeyReused(step, peer):
            detail = "the key was used for a request with other content"
            return Problem(
                422, "key_reused", ExecutionStatus.NO, detail, request_id, step=step, peer=peer
            )
        case JournalUnavailable(step, peer, cause):
            detail = f"the order cannot be recorded: {cause}"
            return Problem(
                503,
                "journal_unavailable",
                ExecutionStatus.NO,
                detail,
                request_id,
                2,
                step=step,
                peer=peer,
            )
        case JournalFull(step, peer, shard):
            detail = f"journal shard {shard} holds no further order"
            return Problem(
                503,
                "journal_full",
                ExecutionStatus.NO,
                detail,
                request_id,
                60,
                step=step,
                peer=peer,
            )
