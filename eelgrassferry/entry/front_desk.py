"""Takes callers' requests, asks the dispatcher and carries out what it decides."""

import asyncio
import random
from collections.abc import Callable

import structlog
from result import Err

from ..dispatch import (
    Action,
    Dispatcher,
    FailReason,
    FlightEnd,
    Job,
    RefuseReason,
)
from ..fleet import FleetConfig, Route, UpstreamDirectory, UpstreamEntry
from ..forwarding import AnswerHead, CallerConn, CallerRequest, RequestFacts, UpstreamPool
from ..http import ExecutionStatus, Problem
from ..logs import to_whole_ms
from ..metrics import Metrics
from .exchange import Exchange
from .wire import Wire

__all__ = ["FrontDesk"]

log = structlog.get_logger()

REFUSAL_DETAILS = {
    RefuseReason.NO_CONFIG: "this node knows no configuration yet",
    RefuseReason.NO_UPSTREAM: "the service has no upstream",
    RefuseReason.NOT_RESIDENT: "no upstream holds the model or adapter",
    RefuseReason.NO_CAPACITY: "no upstream has room before the deadline",
    RefuseReason.TOO_LARGE: "the request is larger than an upstream's memory",
    RefuseReason.UNKNOWN_MODEL: "the service has no such model",
    RefuseReason.NOT_RUN_UPSTREAM: "the upstreams declined the request",
    RefuseReason.STOPPING: "this node is stopping",
}
FAILURE_DETAILS = {
    FailReason.CONNECTION_LOST: "the connection to the upstream was lost",
    FailReason.BAD_ANSWER: "the upstream's answer could not be used",
    FailReason.DEADLINE: "no complete answer before the deadline",
}
# Retry-After while the node knows no configuration yet, in seconds.
NO_CONFIG_RETRY_S = 0.5


class FrontDesk:
    """The requests of one node. ``wire`` has the formats of requests and answers."""

    def __init__(
        self,
        wire: Wire,
        dispatcher: Dispatcher,
        directory: UpstreamDirectory,
        pool: UpstreamPool,
        metrics: Metrics,
        clock: Callable[[], float],
        freshness: Callable[[], tuple[int, float]],
        on_waiting: Callable[[], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.directory = directory
        self.pool = pool
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.config: FleetConfig | None = None
        self.in_flight = 0
        self.encode_request = wire.encode_request
        self._wire = wire
        self._metrics = metrics
        self._freshness = freshness
        self._on_waiting = on_waiting
        self._rng = random.Random()
        self._performing: list[Action] = []

    def set_config(self, config: FleetConfig) -> None:
        """Use another version of the configuration for requests that come from now on."""
        self.config = config
        self.dispatcher.set_config(config)

    # Requests

    def accept(self, conn: CallerConn, request: CallerRequest) -> Exchange | None:
        """Take a complete request; return what holds it, None where it is answered already."""
        decoded = self._wire.decode_request(request.headers)
        if isinstance(decoded, Err) or not decoded.ok_value.request_id:
            detail = decoded.err_value.detail if isinstance(decoded, Err) else "no request id"
            return self._turn_away(conn, RequestFacts("", ""), 400, "malformed_request", detail)
        facts = decoded.ok_value
        if self.config is None:
            self._count_refusal(facts, RefuseReason.NO_CONFIG, NO_CONFIG_RETRY_S)
            self.send_refusal(conn, facts, RefuseReason.NO_CONFIG, NO_CONFIG_RETRY_S)
            return None
        route = self.config.match(facts.host, request.path)
        if route is None:
            detail = f"no route for {facts.host}{request.path}"
            return self._turn_away(conn, facts, 404, "no_route", detail)
        job = self._make_job(facts, route)
        exchange = Exchange(self, conn, request, facts, job)
        job.owner = exchange
        conn.hold(exchange)
        self.in_flight += 1
        self.perform(self.dispatcher.submit(job, self.clock()))
        if job.waiting:
            self._note_waiting(job)
        return None if exchange.done else exchange

    def perform(self, actions: list[Action]) -> None:
        """Carry out decisions in order. Carrying out one may lead to others, which come after."""
        self._performing += actions
        if len(self._performing) > len(actions):
            return
        while self._performing:
            action = self._performing[0]
            action.job.owner.carry_out(action)
            self._performing.pop(0)

    def _make_job(self, facts: RequestFacts, route: Route) -> Job:
        now = self.clock()
        left_s = route.timeout_s
        if facts.deadline_s is not None:
            left_s = min(left_s, facts.deadline_s)
        return Job(
            request_id=facts.request_id,
            service=self._pick_service(route),
            route=route,
            arrived_at=now,
            give_up_at=now + left_s,
            model=facts.model,
            adapter=facts.adapter,
            prompt_tokens=facts.prompt_tokens,
            max_output_tokens=facts.max_output_tokens,
            parts=facts.prompt_parts,
        )

    def _pick_service(self, route: Route) -> str:
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [backend.weight for backend in route.backends]
        return self._rng.choices(route.backends, weights)[0].service

    # Answers of the node's own

    def send_refusal(
        self,
        conn: CallerConn,
        facts: RequestFacts,
        reason: RefuseReason,
        retry_after_s: float | None,
    ) -> None:
        """Answer that the request did not run and will not."""
        detail = REFUSAL_DETAILS[reason]
        self._send_problem(
            conn,
            Problem(503, reason.value, ExecutionStatus.NO, detail, facts.request_id, retry_after_s),
        )

    def send_failure(
        self, conn: CallerConn, facts: RequestFacts, status: int, reason: FailReason
    ) -> None:
        """Answer that the request may have run."""
        detail = FAILURE_DETAILS[reason]
        self._send_problem(
            conn, Problem(status, reason.value, ExecutionStatus.UNKNOWN, detail, facts.request_id)
        )

    def _send_problem(self, conn: CallerConn, problem: Problem) -> None:
        res = problem.to_response()
        headers = [(name.encode(), value.encode("latin-1")) for name, value in res.headers]
        conn.send(res.status, headers, res.body)

    def _turn_away(
        self, conn: CallerConn, facts: RequestFacts, status: int, reason: str, detail: str
    ) -> None:
        """Answer a request that no configuration allows, or that cannot be read."""
        self._metrics.count(f"refused.{reason}")
        log.info(
            "request refused",
            request_id=facts.request_id,
            step="match_route",
            peer=conn.peer,
            reason=reason,
            detail=detail,
            status=status,
            config_version=self.config.version if self.config else 0,
        )
        self._send_problem(
            conn, Problem(status, reason, ExecutionStatus.NO, detail, facts.request_id)
        )

    def _count_refusal(
        self, facts: RequestFacts, reason: RefuseReason, retry_after_s: float | None
    ) -> None:
        self._metrics.count(f"refused.{reason.value}")
        log.warning(
            "request refused",
            request_id=facts.request_id,
            step="accept",
            reason=reason.value,
            retry_after_s=retry_after_s,
        )

    # Records

    def _note_waiting(self, job: Job) -> None:
        """Record why a request waits, and tell the coordinator if it waits for a model."""
        log.info(
            "request waits",
            routine=True,
            request_id=job.request_id,
            step="dispatch",
            route=job.route.name,
            model=job.model,
            adapter=job.adapter,
            reason=self.dispatcher.reason_to_wait(job, self.clock()).value,
            waiting=self.dispatcher.waiting,
            **self._ages(),
        )
        if job.model:
            self._on_waiting()

    def note_send(self, exchange: Exchange, entry: UpstreamEntry, repeat: bool) -> None:
        """Record where a request goes, and on what estimate."""
        job, now = exchange.job, self.clock()
        flight = job.flight
        if repeat:
            self._metrics.count("retried")
        log.info(
            "request sent",
            routine=not repeat,
            request_id=job.request_id,
            step="dispatch",
            peer=entry.address,
            upstream=entry.instance,
            route=job.route.name,
            model=job.model,
            adapter=job.adapter,
            repeat=repeat,
            waited_ms=round((now - job.arrived_at) * 1000),
            left_ms=round((job.give_up_at - now) * 1000),
            expected_ms=round(flight.expected_s * 1000) if flight else None,
            load=round(self.dispatcher.load.at(entry.instance, now).requests),
            **self._ages(),
        )

    def note_run_failed(self, exchange: Exchange, end: FlightEnd, detail: str) -> None:
        """Record how a run ended that brought no success."""
        flight = exchange.job.flight
        self._metrics.count(f"run_failed.{end.value}")
        log.warning(
            "run failed",
            request_id=exchange.job.request_id,
            step="await_answer",
            upstream=flight.instance if flight else "",
            end=end.value,
            detail=detail,
            after_ms=round((self.clock() - flight.sent_at) * 1000) if flight else None,
            **self._ages(),
        )

    def note_foreign_answer(self, exchange: Exchange, head: AnswerHead) -> None:
        """Record that an upstream sent the answer to another request."""
        self._metrics.count("foreign_answers")
        log.warning(
            "answer to another request dropped",
            request_id=exchange.job.request_id,
            step="await_answer",
            answer_id=head.request_id,
        )

    def note_end(self, exchange: Exchange, outcome: str, reason: str, **fields: object) -> None:
        """Record a request's outcome."""
        job = exchange.job
        self.in_flight -= 1
        took_s = self.clock() - job.arrived_at
        self._metrics.observe(f"request_seconds.{outcome}", took_s)
        self._metrics.count(f"{outcome}.{reason}" if reason else outcome)
        log.info(
            f"request {outcome}",
            routine=outcome in ("served", "caller_gone"),
            request_id=job.request_id,
            step="answer",
            upstream=job.ran_on[-1] if job.ran_on else "",
            route=job.route.name,
            model=job.model,
            adapter=job.adapter,
            reason=reason,
            first_event_ms=job.first_event_ms,
            longest_pause_ms=job.longest_pause_ms,
            took_ms=round(took_s * 1000),
            declined=job.not_run_tries,
            ran_on=len(job.ran_on),
            waiting=self.dispatcher.waiting,
            **self._ages(),
            **fields,
        )

    def names_other_instance(self, head: AnswerHead, job: Job) -> bool:
        """Return whether an answer comes from another incarnation than the one asked."""
        return bool(head.instance) and (job.flight is None or head.instance != job.flight.instance)

    def _ages(self) -> dict[str, object]:
        version, age_s = self._freshness()
        return {
            "config_version": self.config.version if self.config else 0,
            "directory_version": version,
            "directory_age_ms": to_whole_ms(age_s),
        }
