"""Handling of callers' requests: decoding, routing, dispatch and the node's own answers."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

import structlog
from result import Err

from ..admission import DoorBudget, DoorLimits
from ..dispatch import (
    Action,
    AttemptFailure,
    Dispatcher,
    FailReason,
    Job,
    RefuseReason,
    request_fingerprint,
)
from ..fleet import FleetConfig, Route, Tenant, UpstreamDirectory, UpstreamEntry
from ..forwarding import (
    AnswerHead,
    CallerConn,
    CallerRequest,
    RawHeaders,
    RequestMetadata,
    UpstreamPool,
)
from ..http import ExecutionStatus, Problem
from ..logs import to_whole_ms
from ..metrics import Metrics, TenantLabels
from ..tenants import Identified, QuotaGate, UnknownKey, Unsure, check_key
from .answer_gate import AnswerGate
from .exchange import Exchange
from .platform_protocol import PlatformProtocol
from .quota_admission import QuotaAdmission

__all__ = ["RequestHandler"]

log = structlog.get_logger()

REFUSAL_DETAILS = {
    RefuseReason.NO_CONFIG: "this node knows no configuration yet",
    RefuseReason.NO_UPSTREAM: "the service has no upstream",
    RefuseReason.NOT_RESIDENT: "no upstream holds the model or adapter",
    RefuseReason.NO_CAPACITY: "no upstream has room before the deadline",
    RefuseReason.UPSTREAM_LIMIT: "the upstreams accept no further requests at present",
    RefuseReason.TOO_LARGE: "the request is larger than an upstream's memory",
    RefuseReason.UNKNOWN_MODEL: "the service has no such model",
    RefuseReason.NOT_RUN_UPSTREAM: "the upstreams declined the request",
    RefuseReason.STOPPING: "this node is stopping",
    RefuseReason.CRASHED_UPSTREAMS: "requests with this content crash upstreams",
    RefuseReason.OVER_QUOTA: "the tenant's quota is used up",
}
FAILURE_DETAILS = {
    FailReason.CONNECTION_LOST: "the connection to the upstream was lost",
    FailReason.BAD_ANSWER: "the upstream's answer could not be used",
    FailReason.DEADLINE: "no complete answer before the deadline",
    FailReason.CRASHED_UPSTREAMS: "requests with this content crash upstreams",
    FailReason.INTERNAL_ERROR: "this node failed to handle the request",
}
# Time between a broken run and the check whether its upstream still listens, in seconds.
PROBE_DELAY_S = 0.1
# Retry-After of refusals until the node has received a configuration, in seconds.
NO_CONFIG_RETRY_S = 0.5


class RequestHandler:
    """Accepts the requests of one node and executes the dispatcher's actions on them.

    ``protocol`` decodes and encodes the heads of requests and answers. ``directory_freshness``
    returns the version of the upstream directory and its age in seconds. ``on_waiting`` is called
    when a request starts to wait for a model, and ``on_turn_wanted`` when it starts to wait for a
    turn at an upstream that limits its rate. ``config_may_be_behind`` returns whether a newer
    configuration than the one in force here may exist. ``use_quotas`` has to be called before
    requests of tenants with a quota are limited. ``budget`` limits the memory of answers in
    arrival.
    """

    def __init__(
        self,
        protocol: PlatformProtocol,
        dispatcher: Dispatcher,
        directory: UpstreamDirectory,
        pool: UpstreamPool,
        metrics: Metrics,
        clock: Callable[[], float],
        directory_freshness: Callable[[], tuple[int, float]],
        on_waiting: Callable[[], None],
        on_turn_wanted: Callable[[], None],
        budget: DoorBudget | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.directory = directory
        self.pool = pool
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.config: FleetConfig | None = None
        self.config_may_be_behind: Callable[[], bool] = lambda: False
        self.in_flight = 0
        self.tenant_labels = TenantLabels()
        self.encode_request = protocol.encode_request
        self.answer_gate = AnswerGate(budget or DoorBudget(DoorLimits()))
        self._protocol = protocol
        self._metrics = metrics
        self._quotas: QuotaAdmission | None = None
        self._directory_freshness = directory_freshness
        self._on_waiting = on_waiting
        self._on_turn_wanted = on_turn_wanted
        self._rng = random.Random()
        self._pending_actions: deque[Action] = deque()
        self._is_performing = False
        self._probes: dict[str, asyncio.Task[None]] = {}

    def set_config(self, config: FleetConfig) -> None:
        """Set the configuration that applies to new requests."""
        self.config = config
        self.dispatcher.set_config(config)

    def use_quotas(self, gate: QuotaGate, send_soon: Callable[[], None]) -> QuotaAdmission:
        """Admit requests by the decisions of ``gate`` from now on.

        ``send_soon`` is called when the gate has a question for the coordinator.
        """
        self._quotas = QuotaAdmission(
            gate,
            self._submit,
            lambda refusal: self.perform([refusal]),
            send_soon,
            self._count_units,
        )
        return self._quotas

    # Requests

    def accept(self, conn: CallerConn, request: CallerRequest) -> Exchange | None:
        """Route and dispatch a complete request.

        Return its exchange, or None if the request has been answered already.
        """
        try:
            return self._accept(conn, request)
        except Exception as exc:
            self._metrics.count("requests_abandoned")
            log.error("request not accepted", step="accept", peer=conn.peer, exc_info=exc)
            conn.abort()
            return None

    def _accept(self, conn: CallerConn, request: CallerRequest) -> Exchange | None:
        decoded = self._protocol.decode_request(request.headers)
        if isinstance(decoded, Err) or not decoded.ok_value.request_id:
            detail = decoded.err_value.detail if isinstance(decoded, Err) else "no request id"
            return self._reject(
                conn, RequestMetadata("", "", None), 400, "malformed_request", detail
            )
        facts = decoded.ok_value
        if self.config is None:
            self._count_refusal(facts, RefuseReason.NO_CONFIG, NO_CONFIG_RETRY_S)
            self.send_refusal(conn, facts, RefuseReason.NO_CONFIG, NO_CONFIG_RETRY_S)
            return None
        route = self.config.match(facts.host, request.path)
        if route is None:
            detail = f"no route for {facts.host}{request.path}"
            return self._reject(conn, facts, 404, "no_route", detail)
        tenant: Tenant | None = None
        may_be_behind = bool(self.config.tenants) and self.config_may_be_behind()
        match check_key(self.config, route, facts.key, may_be_behind):
            case UnknownKey():
                return self._reject(
                    conn, facts, 401, "unknown_key", "the request needs the key of a tenant"
                )
            case Unsure(retry_after_s):
                detail = "this node may not know the newest keys"
                return self._reject(conn, facts, 503, "unsure_key", detail, retry_after_s)
            case Identified(tenant):
                pass
        job = self._make_job(facts, route, request, tenant)
        exchange = Exchange(self, conn, request, facts, job)
        job.exchange = exchange
        conn.set_listener(exchange)
        self.in_flight += 1
        try:
            if self._quotas is None:
                self._submit(job)
            else:
                self._quotas.admit(job, tenant, facts.tokens, self.clock())
        except Exception as exc:
            self.abandon(exchange, exc)
        return None if exchange.done else exchange

    def _submit(self, job: Job) -> None:
        """Dispatch a job that the quota of its tenant allows."""
        try:
            self.perform(self.dispatcher.submit(job, self.clock()))
            if job.waiting:
                self._record_waiting(job)
            elif self.dispatcher.is_returning(job):
                self._on_waiting()
        except Exception as exc:
            self.abandon(job.exchange, exc)

    def needs_body(self, target: bytes, headers: RawHeaders) -> bool:
        """Return whether a request may be forwarded, so that its body has to be kept."""
        decoded = self._protocol.decode_request(headers)
        if isinstance(decoded, Err) or self.config is None:
            return False
        path = target.decode("latin-1").partition("?")[0]
        return self.config.match(decoded.ok_value.host, path) is not None

    def perform(self, actions: list[Action]) -> None:
        """Execute actions in order.

        An action may lead to further actions, which are queued behind the current ones instead of
        being executed recursively. An action that raises an error ends its own request only.
        """
        self._pending_actions += actions
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._pending_actions:
                action = self._pending_actions.popleft()
                exchange: Exchange = action.job.exchange
                try:
                    exchange.carry_out(action)
                except Exception as exc:
                    self.abandon(exchange, exc)
        finally:
            self._is_performing = False

    def abandon(self, exchange: Exchange, error: Exception) -> None:
        """End a request whose handling has raised an error; the other requests go on."""
        job = exchange.job
        self._metrics.count("requests_abandoned")
        log.error(
            "request abandoned",
            request_id=job.request_id,
            step="handle_request",
            route=job.route.name,
            upstream=job.attempt.instance if job.attempt else "",
            answer_begun=job.answer_begun,
            exc_info=error,
            **self._version_fields(),
        )
        try:
            exchange.abandon()
        except Exception as exc:
            log.error(
                "request not ended", request_id=job.request_id, step="handle_request", exc_info=exc
            )
        self.perform(self.dispatcher.cancel(job, self.clock()))

    def probe(self, instance: str) -> None:
        """Start to check whether an upstream still listens, unless a check is in progress."""
        if instance not in self._probes:
            self._probes[instance] = self.loop.create_task(self._probe(instance))

    async def _probe(self, instance: str) -> None:
        try:
            # A process that is ending may close its connections some moments before its listener.
            await asyncio.sleep(PROBE_DELAY_S)
            entry = self.directory.get(instance)
            if entry is None:
                return
            result = await self.pool.connect(instance, entry.address)
            if not isinstance(result, Err):
                result.ok_value.close()
            elif result.err_value.step == "refused":
                self.perform(self.dispatcher.record_no_listener(entry, self.clock()))
        finally:
            del self._probes[instance]

    def tenant_to_name(self, job: Job) -> str | None:
        """Return the tenant to name to a job's upstream, "" if it belongs to none.

        None means that the fleet has no tenants.
        """
        has_tenants = self.config is not None and bool(self.config.tenants)
        return job.tenant if has_tenants or job.tenant else None

    def _make_job(
        self,
        facts: RequestMetadata,
        route: Route,
        request: CallerRequest,
        tenant: Tenant | None,
    ) -> Job:
        now = self.clock()
        remaining_s = route.timeout_s
        if facts.deadline_s is not None:
            remaining_s = min(remaining_s, facts.deadline_s)
        return Job(
            request_id=facts.request_id,
            service=self._choose_service(route),
            route=route,
            arrived_at=now,
            give_up_at=now + remaining_s,
            model=facts.model,
            adapter=facts.adapter,
            prompt_tokens=facts.prompt_tokens,
            max_output_tokens=facts.max_output_tokens,
            prompt_parts=facts.prompt_parts,
            request_bytes=len(request.body),
            fingerprint=request_fingerprint(
                request.method,
                request.target,
                request.body,
                f"{facts.model}/{facts.adapter}".encode(),
                *(part_id.encode() for part_id, _ in facts.prompt_parts),
            ),
            tenant=tenant.name if tenant is not None else "",
            tenant_priority=tenant.priority if tenant is not None else None,
        )

    def _choose_service(self, route: Route) -> str:
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [backend.weight for backend in route.backends]
        return self._rng.choices(route.backends, weights)[0].service

    # Answers that the node creates itself

    def send_refusal(
        self,
        conn: CallerConn,
        facts: RequestMetadata,
        reason: RefuseReason,
        retry_after_s: float | None,
    ) -> None:
        """Answer with a problem which states that the request did not run and will not run."""
        detail = REFUSAL_DETAILS[reason]
        status = 429 if reason is RefuseReason.OVER_QUOTA else 503
        self._send_problem(
            conn,
            Problem(
                status, reason.value, ExecutionStatus.NO, detail, facts.request_id, retry_after_s
            ),
        )

    def send_failure(
        self, conn: CallerConn, facts: RequestMetadata, status: int, reason: FailReason
    ) -> None:
        """Answer with a problem which states that the request may have run."""
        detail = FAILURE_DETAILS[reason]
        self._send_problem(
            conn, Problem(status, reason.value, ExecutionStatus.UNKNOWN, detail, facts.request_id)
        )

    def _send_problem(self, conn: CallerConn, problem: Problem) -> None:
        res = problem.to_response()
        headers = [(name.encode(), value.encode("latin-1")) for name, value in res.headers]
        conn.send(res.status, headers, res.body)

    def _reject(
        self,
        conn: CallerConn,
        facts: RequestMetadata,
        status: int,
        reason: str,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Answer a request that has no route or tenant, or cannot be decoded."""
        self._metrics.count(f"refused.{reason}")
        log.info(
            "request refused",
            request_id=facts.request_id,
            step="accept",
            peer=conn.peer,
            reason=reason,
            detail=detail,
            status=status,
            config_version=self.config.version if self.config else 0,
        )
        self._send_problem(
            conn,
            Problem(status, reason, ExecutionStatus.NO, detail, facts.request_id, retry_after_s),
        )

    def _count_refusal(
        self, facts: RequestMetadata, reason: RefuseReason, retry_after_s: float | None
    ) -> None:
        self._metrics.count(f"refused.{reason.value}")
        log.warning(
            "request refused",
            request_id=facts.request_id,
            step="accept",
            reason=reason.value,
            retry_after_s=retry_after_s,
        )

    # Logs and metrics

    def _count_units(self, tenant: str, units: float) -> None:
        """Count what a request has used of its tenant's quota."""
        self._metrics.count(f"tenant_quota_used.{self.tenant_labels.label(tenant)}.", round(units))

    def _record_waiting(self, job: Job) -> None:
        """Log why a request waits, and notify the coordinator if it waits for a model."""
        log.info(
            "request waits",
            routine=True,
            request_id=job.request_id,
            step="dispatch",
            route=job.route.name,
            tenant=job.tenant,
            model=job.model,
            adapter=job.adapter,
            reason=self.dispatcher.waiting_reason(job, self.clock()).value,
            waiting=self.dispatcher.waiting,
            **self._version_fields(),
        )
        if job.awaits_turn:
            self._on_turn_wanted()
        elif job.model:
            self._on_waiting()

    def record_send(self, exchange: Exchange, entry: UpstreamEntry, repeat: bool) -> None:
        """Log the upstream that a request is sent to, with the estimated time of its answer."""
        job, now = exchange.job, self.clock()
        attempt = job.attempt
        if repeat:
            self._metrics.count("retried")
        if exchange.leave_cause:
            self._metrics.count(f"left_domain.{exchange.leave_cause}")
            self._count_left_bytes(exchange, job.request_bytes)
        log.info(
            "request sent",
            routine=not repeat,
            request_id=job.request_id,
            step="dispatch",
            peer=entry.address,
            upstream=entry.instance,
            route=job.route.name,
            tenant=job.tenant,
            model=job.model,
            adapter=job.adapter,
            repeat=repeat,
            waited_ms=round((now - job.arrived_at) * 1000),
            left_ms=round((job.give_up_at - now) * 1000),
            expected_ms=round(attempt.expected_s * 1000) if attempt else None,
            load=round(self.dispatcher.load.total_at(entry.instance, now).requests),
            left_domain=exchange.leave_cause,
            fingerprints=job.fingerprints,
            **self._version_fields(),
        )

    def record_failed_attempt(self, exchange: Exchange, end: AttemptFailure, detail: str) -> None:
        """Log and count an attempt that failed."""
        attempt = exchange.job.attempt
        self._metrics.count(f"run_failed.{end.value}")
        self._count_left_bytes(exchange, exchange.answer_bytes)
        log.warning(
            "run failed",
            request_id=exchange.job.request_id,
            step="await_answer",
            upstream=attempt.instance if attempt else "",
            end=end.value,
            detail=detail,
            after_ms=round((self.clock() - attempt.sent_at) * 1000) if attempt else None,
            answer_bytes=exchange.answer_bytes,
            events=exchange.events,
            fingerprints=exchange.job.fingerprints,
            **self._version_fields(),
        )
        exchange.leave_cause = ""

    def _count_left_bytes(self, exchange: Exchange, size: int) -> None:
        """Count bytes of a request or answer that cross between failure domains, by cause."""
        if exchange.leave_cause:
            self._metrics.count(f"left_domain_bytes.{exchange.leave_cause}", size)

    def record_mismatched_answer(self, exchange: Exchange, head: AnswerHead) -> None:
        """Log and count an answer that belongs to another request."""
        self._metrics.count("foreign_answers")
        log.warning(
            "answer to another request dropped",
            request_id=exchange.job.request_id,
            step="await_answer",
            answer_id=head.request_id,
        )

    def record_outcome(
        self, exchange: Exchange, outcome: str, reason: str, **fields: object
    ) -> None:
        """Log and count the outcome of a request, which is no longer in flight."""
        job = exchange.job
        self.in_flight -= 1
        if self._quotas is not None:
            self._quotas.finish(job)
        took_s = self.clock() - job.arrived_at
        self._metrics.observe(f"request_seconds.{outcome}", took_s)
        self._metrics.count(f"{outcome}.{reason}" if reason else outcome)
        if job.tenant:
            label = self.tenant_labels.label(job.tenant)
            self._metrics.count(f"tenant_{outcome}.{label}.{reason}")
        self._count_left_bytes(exchange, exchange.answer_bytes)
        if outcome in ("served", "answered"):
            self.dispatcher.selector.leaving.record_answer(job, exchange.answer_bytes)
        log.info(
            f"request {outcome}",
            routine=outcome in ("served", "caller_gone"),
            request_id=job.request_id,
            step="answer",
            upstream=job.may_have_run_on[-1] if job.may_have_run_on else "",
            route=job.route.name,
            tenant=job.tenant,
            model=job.model,
            adapter=job.adapter,
            reason=reason,
            first_event_ms=job.first_event_ms,
            longest_pause_ms=job.longest_pause_ms,
            took_ms=round(took_s * 1000),
            declined=job.declined_attempts,
            ran_on=len(job.may_have_run_on),
            left_domain=exchange.leave_cause,
            waiting=self.dispatcher.waiting,
            **self._version_fields(),
            **fields,
        )

    def is_from_other_instance(self, head: AnswerHead, job: Job) -> bool:
        """Return whether an answer comes from another instance than the request was sent to.

        An answer without an instance id counts as one from the expected instance.
        """
        return bool(head.instance) and (
            job.attempt is None or head.instance != job.attempt.instance
        )

    def _version_fields(self) -> dict[str, object]:
        version, age_s = self._directory_freshness()
        return {
            "config_version": self.config.version if self.config else 0,
            "directory_version": version,
            "directory_age_ms": to_whole_ms(age_s),
        }
