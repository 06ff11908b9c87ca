"""Serves calls to plain services: repeatable ones with retries, orders at most once."""

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
    Fresh,
    InProgress,
    JournalFull,
    JournalUnavailable,
    KeyReused,
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

# Headers that belong to one connection and are not passed on.
HOP_HEADERS = frozenset(
    {"host", "connection", "content-length", "transfer-encoding", "keep-alive", "te", "upgrade"}
)
POLL_S = 0.1
MAX_ATTEMPTS = 3
# Recorded where an order was dispatched and its answer was lost, so that whoever asks again
# learns at once that the outcome is unknown. No upstream answers with status 0.
UNKNOWN_OUTCOME = Outcome(0)


@dataclass(frozen=True)
class ServiceCall:
    """One call to a service. ``target`` is the path and query as the upstream sees it."""

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
    """Routes calls to the upstreams of plain services."""

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
        """Serve one call."""
        urgent = read_urgency(req, any(target.startswith(p) for p in service.urgent_paths))
        if urgent is None:
            detail = "the Priority header has no urgency from 0 to 7"
            await out.send(
                self._refuse(400, "invalid_header", ExecutionStatus.NO, detail, request_id)
            )
            return
        call = ServiceCall(request_id, service, target, req, urgent)
        if service.is_repeatable(req.method, call.path):
            await out.send(await self._repeatable(call))
            return
        key = req.header("idempotency-key")
        if not key or len(key) > 200:
            detail = "this call needs an Idempotency-Key header of 1 to 200 characters"
            await out.send(
                self._refuse(400, "missing_idempotency_key", ExecutionStatus.NO, detail, request_id)
            )
            return
        # The order goes on when its caller leaves, so that its outcome is recorded.
        task = asyncio.ensure_future(self._order(call, f"{service.name}/{key}"))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        await out.send(await asyncio.shield(task))

    async def finish_orders(self, grace_s: float) -> None:
        """Wait for orders in flight, up to ``grace_s`` seconds."""
        if self._orders:
            await asyncio.wait(set(self._orders), timeout=grace_s)

    async def _repeatable(self, call: ServiceCall) -> HttpResponse:
        avoid: list[str] = []
        last = "no attempt was made"
        for _ in range(MAX_ATTEMPTS):
            async with self._gate.enter(call.service, call.request_id, call.urgent, avoid) as slot:
                match slot:
                    case Err(refusal):
                        detail = (
                            f"{refusal.detail}; last failure: {last}" if avoid else refusal.detail
                        )
                        ran = ExecutionStatus.UNKNOWN if avoid else ExecutionStatus.NO
                        return self._refuse(503, refusal.reason, ran, detail, call.request_id)
                    case Ok(upstream):
                        sent = await self._send(call, upstream.name)
                        match sent:
                            case Ok(res) if not _did_not_run(res):
                                return self._pass_on(call, res)
                            case Ok(res):
                                last = f"{upstream.name}: status {res.status}"
                            case Err(exc):
                                upstream.refused = not exc.sent
                                last = f"{upstream.name}: {exc.step}: {exc.detail}"
                        self._metrics.count("retried.service_failed")
                        avoid.append(upstream.name)
        return self._refuse(502, "upstream_failed", ExecutionStatus.UNKNOWN, last, call.request_id)

    async def _order(self, call: ServiceCall, key: str) -> HttpResponse:
        digest = _digest(call)
        deadline = time.monotonic() + call.service.timeout_s
        while True:
            begun = await self._journal.begin(key, digest)
            match begun:
                case Err(refusal):
                    # The journal has counted the refusal.
                    return _problem_of(refusal, call.request_id).to_response()
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
                    await asyncio.sleep(POLL_S)
                case Ok(Fresh(attempt)):
                    return await self._run_order(call, key, attempt)

    async def _run_order(self, call: ServiceCall, key: str, attempt: str) -> HttpResponse:
        """Dispatch a recorded order; only a definite refusal lets it go to another upstream."""
        avoid: list[str] = []
        while True:
            async with self._gate.enter(call.service, call.request_id, call.urgent, avoid) as slot:
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
                                kind = res.header("content-type") or ""
                                outcome = Outcome(res.status, res.body, kind)
                                await self._journal.complete(key, attempt, outcome)
                                self._metrics.count("orders.done")
                                return self._pass_on(call, res)
                            case Err(exc) if exc.sent:
                                await self._journal.complete(key, attempt, UNKNOWN_OUTCOME)
                                return self._lost(call, upstream.name, exc)
                            case Err():
                                upstream.refused = True
                        self._metrics.count("retried.order_not_run")
                        avoid.append(upstream.name)

    async def _send(self, call: ServiceCall, upstream: str) -> Result[HttpResponse, HttpError]:
        headers = tuple((k, v) for k, v in call.req.headers if k.lower() not in HOP_HEADERS)
        return await self._client.request(
            self._watch.address_of(upstream),
            call.req.method,
            call.target,
            headers=(*headers, ("x-request-id", call.request_id)),
            body=call.req.body,
            timeout_s=call.service.timeout_s,
            new_connection=not call.service.is_repeatable(call.req.method, call.path),
        )

    def _lost(self, call: ServiceCall, upstream: str, exc: HttpError) -> HttpResponse:
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
    def _pass_on(call: ServiceCall, res: HttpResponse) -> HttpResponse:
        headers = tuple((k, v) for k, v in res.headers if k.lower() not in HOP_HEADERS)
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


def _problem_of(refusal: OrderRefusal, request_id: str) -> Problem:
    """Return why an order was refused; none of these has run."""
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
