"""Serves one model request from its arrival to its whole answer."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from ..http import ExecutionStatus, HttpClient, Problem, Responder
from ..metrics import Metrics
from ..routing import Dispatch, FailureKind, Preempt, Refuse, RouteRequest, UpstreamFailure
from .answer import Answer
from .demand_counter import DemandCounter
from .engine_client import EngineFailure, EngineFailureKind, EngineStream, open_stream
from .model_call import CallKind, ModelCall
from .prompt_blocks import count_tokens, hash_blocks
from .router_driver import RouterDriver, Ticket
from .upstream_watch import UpstreamWatch

__all__ = ["ModelProxy"]

PATHS = {CallKind.COMPLETION: "/v1/completions", CallKind.CHAT: "/v1/chat/completions"}

# An adapter is loaded in about 20 ms; a store or object API that is slow may take longer.
ADAPTER_WAIT_S = 2.0
# The engine sends the head with the first token. Patient requests may wait in its queue.
URGENT_HEAD_TIMEOUT_S = 3.0
PATIENT_HEAD_TIMEOUT_S = 60.0

FAILURE_KINDS = {
    EngineFailureKind.NOT_RUN: FailureKind.NOT_RUN,
    EngineFailureKind.NOT_RESIDENT: FailureKind.NOT_RESIDENT,
    EngineFailureKind.BROKEN: FailureKind.BROKEN,
    EngineFailureKind.TIMEOUT: FailureKind.TIMEOUT,
}


@dataclass(frozen=True)
class Served:
    """The attempt answered the request in full."""


@dataclass(frozen=True)
class Rejected:
    """The engine refused the request itself, so that no other upstream would take it."""

    detail: str


@dataclass(frozen=True)
class Failed:
    """The attempt ended early; the tokens received so far are kept."""

    failure: UpstreamFailure


class ModelProxy:
    """Routes model requests, streams their answers, and resumes them at another upstream.

    A token is passed on exactly once: each attempt asks the engine to continue after the tokens
    that the caller already has, and the stream checks every index.
    """

    def __init__(
        self,
        driver: RouterDriver,
        watch: UpstreamWatch,
        client: HttpClient,
        metrics: Metrics,
        demand: DemandCounter,
        want: Callable[[str, bool], None],
    ) -> None:
        self._driver = driver
        self._watch = watch
        self._client = client
        self._metrics = metrics
        self._demand = demand
        self._want = want

    async def serve(self, call: ModelCall, out: Responder) -> None:
        """Serve one request. A caller that leaves cancels it."""
        self._demand.note(call.name, urgent=call.urgent)
        answer = Answer(call, out)
        ticket = self._driver.submit(self._to_route_request(call))
        try:
            await self._serve(call, ticket, answer)
        finally:
            self._driver.cancel(call.request_id)

    async def _serve(self, call: ModelCall, ticket: Ticket, answer: Answer) -> None:
        while True:
            match await ticket.next():
                case Refuse() as refusal:
                    await answer.fail(self._to_problem(call, refusal))
                    return
                case Preempt():
                    pass  # the attempt it was meant for has already ended
                case Dispatch() as dispatch:
                    if dispatch.retry is not None:
                        self._metrics.count(f"retried.{dispatch.retry.value}")
                    outcome = await self._attempt(call, dispatch, ticket, answer)
                    match outcome:
                        case Served():
                            self._driver.finish(call.request_id)
                            self._metrics.count(
                                "served.urgent" if call.urgent else "served.patient"
                            )
                            await answer.finish()
                            return
                        case Rejected(detail):
                            self._metrics.count("refused.engine_rejected")
                            problem = Problem(
                                400, "engine_rejected", ExecutionStatus.NO, detail, call.request_id
                            )
                            await answer.fail(problem)
                            return
                        case Failed(failure):
                            self._metrics.count(f"attempt_failed.{failure.kind.value}")
                            self._driver.fail(call.request_id, failure, answer.count)

    async def _attempt(
        self, call: ModelCall, dispatch: Dispatch, ticket: Ticket, answer: Answer
    ) -> Served | Rejected | Failed:
        """Run one attempt; a preemption ends it early."""
        task = asyncio.ensure_future(self._stream(call, dispatch, answer))
        preempt = asyncio.ensure_future(ticket.next())
        try:
            await asyncio.wait({task, preempt}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                if preempt.done():
                    self._metrics.count("preempt.too_late")
                return task.result()
            task.cancel()
            await asyncio.wait({task})
            return Failed(UpstreamFailure(FailureKind.PREEMPTED, dispatch.upstream, "made room"))
        finally:
            task.cancel()
            preempt.cancel()

    async def _stream(
        self, call: ModelCall, dispatch: Dispatch, answer: Answer
    ) -> Served | Rejected | Failed:
        if dispatch.load_adapter and not await self._obtain_adapter(call, dispatch):
            detail = "the adapter is not loaded there"
            return Failed(UpstreamFailure(FailureKind.NOT_RESIDENT, dispatch.upstream, detail))
        body = self._encode(call, dispatch, answer)
        address = self._watch.address_of(dispatch.upstream)
        instance = self._watch.instance_of(dispatch.upstream)
        path = PATHS[call.kind]
        timeout_s = URGENT_HEAD_TIMEOUT_S if call.urgent else PATIENT_HEAD_TIMEOUT_S
        opened = await open_stream(
            self._client, address, body, call.request_id, answer.count, path, timeout_s
        )
        match opened:
            case Err(EngineFailure(EngineFailureKind.REJECTED, _, _, detail)):
                return Rejected(detail)
            case Err(failure):
                return Failed(await self._classify(dispatch.upstream, instance, failure))
            case Ok(stream):
                try:
                    return await self._pass_on(call, dispatch, instance, stream, answer)
                finally:
                    stream.close()
                    self._count_anomalies(stream)
        raise AssertionError("unreachable")

    async def _obtain_adapter(self, call: ModelCall, dispatch: Dispatch) -> bool:
        """Ask the lease holder, which reserves the memory, to load the adapter.

        The holder may choose another upstream; the router then places the request anew.
        """
        self._want(call.name, call.urgent)
        return await self._watch.wait_resident(call.name, dispatch.upstream, ADAPTER_WAIT_S)

    async def _pass_on(
        self,
        call: ModelCall,
        dispatch: Dispatch,
        instance: str,
        stream: EngineStream,
        answer: Answer,
    ) -> Served | Rejected | Failed:
        first = True
        while not stream.done:
            read = await stream.read()
            if isinstance(read, Err):
                failure = await self._classify(dispatch.upstream, instance, read.err_value)
                return Failed(failure)
            tokens = read.ok_value
            if tokens and first:
                first = False
                self._driver.first_token(call.request_id)
            if tokens:
                self._driver.tokens(call.request_id, len(tokens))
                await answer.add(tokens)
        return Served()

    def _encode(self, call: ModelCall, dispatch: Dispatch, answer: Answer) -> bytes:
        body = json.loads(call.body)
        body["stream"] = True
        body["max_tokens"] = call.max_tokens
        body["priority"] = 0 if call.urgent else 1
        if answer.count:
            body["resume"] = {"version": answer.version, "tokens": answer.count}
        elif dispatch.version:
            body["version"] = dispatch.version
        return json.dumps(body).encode()

    async def _classify(
        self, upstream: str, instance: str, failure: EngineFailure
    ) -> UpstreamFailure:
        """Tell a crash of the whole upstream from the loss of one connection. ``instance`` is the
        one that was known when the request was sent.
        """
        kind = FAILURE_KINDS[failure.kind]
        if kind is FailureKind.BROKEN and not await self._watch.is_running(upstream, instance):
            kind = FailureKind.CRASHED
        return UpstreamFailure(kind, upstream, f"{failure.step}: {failure.detail}")

    def _count_anomalies(self, stream: EngineStream) -> None:
        if stream.crossed:
            self._metrics.count("dropped.crossed_event", stream.crossed)
        if stream.doubled:
            self._metrics.count("dropped.doubled_token", stream.doubled)

    @staticmethod
    def _to_route_request(call: ModelCall) -> RouteRequest:
        return RouteRequest(
            request_id=call.request_id,
            name=call.name,
            urgent=call.urgent,
            deadline_at=time.monotonic() + call.deadline_s,
            prompt_tokens=count_tokens(call.prompt),
            max_tokens=call.max_tokens,
            digest=call.digest,
            prefix_hashes=hash_blocks(call.name, call.version, call.prompt),
            repeatable=True,
        )

    @staticmethod
    def _to_problem(call: ModelCall, refusal: Refuse) -> Problem:
        return Problem(
            refusal.status,
            refusal.reason.value,
            refusal.ran,
            refusal.detail,
            call.request_id,
            refusal.retry_after_s,
            step="route",
        )
