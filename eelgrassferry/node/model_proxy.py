"""Proxy for model requests: dispatch, streaming and retries."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from ..http import ExecutionStatus, HttpClient, Problem, Responder
from ..metrics import Metrics
from ..routing import Dispatch, FailureKind, Preempt, Refuse, RouteRequest, UpstreamFailure
from .answer_writer import AnswerWriter
from .demand_counter import DemandCounter
from .engine_client import EngineFailure, EngineFailureKind, EngineStream, open_stream
from .model_call import CallKind, ModelCall
from .prompt_blocks import count_tokens, hash_blocks
from .router_driver import RequestHandle, RouterDriver
from .upstream_watch import UpstreamWatch

__all__ = ["ModelProxy"]

ENGINE_PATHS = {CallKind.COMPLETION: "/v1/completions", CallKind.CHAT: "/v1/chat/completions"}

# Loading an adapter takes about 20 ms, but more if the weight store or the object API is slow.
ADAPTER_WAIT_S = 2.0
# The engine sends the response head with the first token, so the timeout of patient requests
# includes the time in the engine's queue.
URGENT_HEAD_TIMEOUT_S = 3.0
PATIENT_HEAD_TIMEOUT_S = 60.0

ROUTING_FAILURE_KINDS = {
    EngineFailureKind.NOT_RUN: FailureKind.NOT_RUN,
    EngineFailureKind.NOT_RESIDENT: FailureKind.NOT_RESIDENT,
    EngineFailureKind.BROKEN: FailureKind.BROKEN,
    EngineFailureKind.TIMEOUT: FailureKind.TIMEOUT,
}


@dataclass(frozen=True)
class Completed:
    """The attempt completed the answer."""


@dataclass(frozen=True)
class Rejected:
    """The engine rejected the request as invalid; other upstreams would reject it too."""

    detail: str


@dataclass(frozen=True)
class Failed:
    """The attempt ended early. Tokens received so far remain part of the answer."""

    failure: UpstreamFailure


class ModelProxy:
    """Routes model requests, streams their answers and resumes them at another upstream on failure.

    Each token reaches the caller exactly once: every attempt asks the engine to continue after the
    tokens that the caller already has, and the stream checks the index of each token.
    """

    def __init__(
        self,
        driver: RouterDriver,
        watch: UpstreamWatch,
        client: HttpClient,
        metrics: Metrics,
        demand: DemandCounter,
        request_copy: Callable[[str, bool], None],
    ) -> None:
        self._driver = driver
        self._watch = watch
        self._client = client
        self._metrics = metrics
        self._demand = demand
        self._request_copy = request_copy

    async def serve(self, call: ModelCall, out: Responder) -> None:
        """Serve one request; a disconnect of the caller cancels it."""
        self._demand.record(call.name, urgent=call.urgent)
        answer = AnswerWriter(call, out)
        handle = self._driver.submit(self._to_route_request(call))
        try:
            await self._serve(call, handle, answer)
        finally:
            self._driver.cancel(call.request_id)

    async def _serve(self, call: ModelCall, handle: RequestHandle, answer: AnswerWriter) -> None:
        while True:
            match await handle.next():
                case Refuse() as refusal:
                    await answer.send_problem(self._to_problem(call, refusal))
                    return
                case Preempt():
                    pass  # the attempt that it should cancel has already ended
                case Dispatch() as dispatch:
                    if dispatch.retry is not None:
                        self._metrics.count(f"retried.{dispatch.retry.value}")
                    outcome = await self._run_attempt(call, dispatch, handle, answer)
                    match outcome:
                        case Completed():
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
                            await answer.send_problem(problem)
                            return
                        case Failed(failure):
                            self._metrics.count(f"attempt_failed.{failure.kind.value}")
                            self._driver.fail(call.request_id, failure, answer.token_count)

    async def _run_attempt(
        self, call: ModelCall, dispatch: Dispatch, handle: RequestHandle, answer: AnswerWriter
    ) -> Completed | Rejected | Failed:
        """Run one attempt and return its outcome; a preemption cancels it."""
        task = asyncio.ensure_future(self._stream_answer(call, dispatch, answer))
        preempt = asyncio.ensure_future(handle.next())
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

    async def _stream_answer(
        self, call: ModelCall, dispatch: Dispatch, answer: AnswerWriter
    ) -> Completed | Rejected | Failed:
        if dispatch.load_adapter and not await self._wait_for_adapter(call, dispatch):
            detail = "the adapter is not loaded there"
            return Failed(UpstreamFailure(FailureKind.NOT_RESIDENT, dispatch.upstream, detail))
        body = self._encode_body(call, dispatch, answer)
        address = self._watch.address_of(dispatch.upstream)
        instance = self._watch.instance_of(dispatch.upstream)
        path = ENGINE_PATHS[call.kind]
        timeout_s = URGENT_HEAD_TIMEOUT_S if call.urgent else PATIENT_HEAD_TIMEOUT_S
        opened = await open_stream(
            self._client, address, body, call.request_id, answer.token_count, path, timeout_s
        )
        match opened:
            case Err(EngineFailure(EngineFailureKind.REJECTED, _, _, detail)):
                return Rejected(detail)
            case Err(failure):
                return Failed(await self._classify_failure(dispatch.upstream, instance, failure))
            case Ok(stream):
                try:
                    return await self._forward_tokens(call, dispatch, instance, stream, answer)
                finally:
                    stream.close()
                    self._count_anomalies(stream)
        raise AssertionError("unreachable")

    async def _wait_for_adapter(self, call: ModelCall, dispatch: Dispatch) -> bool:
        """Ask the lease holder to load the adapter; return whether it is then resident.

        The lease holder reserves the memory and may choose another upstream. In that case the
        attempt fails and the router dispatches the request again.
        """
        self._request_copy(call.name, call.urgent)
        return await self._watch.wait_resident(call.name, dispatch.upstream, ADAPTER_WAIT_S)

    async def _forward_tokens(
        self,
        call: ModelCall,
        dispatch: Dispatch,
        instance: str,
        stream: EngineStream,
        answer: AnswerWriter,
    ) -> Completed | Rejected | Failed:
        first = True
        while not stream.done:
            read = await stream.read()
            if isinstance(read, Err):
                failure = await self._classify_failure(dispatch.upstream, instance, read.err_value)
                return Failed(failure)
            tokens = read.ok_value
            if tokens and first:
                first = False
                self._driver.record_first_token(call.request_id)
            if tokens:
                self._driver.record_tokens(call.request_id, len(tokens))
                await answer.write_tokens(tokens)
        return Completed()

    def _encode_body(self, call: ModelCall, dispatch: Dispatch, answer: AnswerWriter) -> bytes:
        body = json.loads(call.body)
        body["stream"] = True
        body["max_tokens"] = call.max_tokens
        body["priority"] = 0 if call.urgent else 1
        if answer.token_count:
            body["resume"] = {"version": answer.version, "tokens": answer.token_count}
        elif dispatch.version:
            body["version"] = dispatch.version
        return json.dumps(body).encode()

    async def _classify_failure(
        self, upstream: str, instance: str, failure: EngineFailure
    ) -> UpstreamFailure:
        """Convert an engine failure, distinguishing a crash from the loss of one connection.

        ``instance`` is the engine instance that was known when the request was sent.
        """
        kind = ROUTING_FAILURE_KINDS[failure.kind]
        if kind is FailureKind.BROKEN and not await self._watch.is_running(upstream, instance):
            kind = FailureKind.CRASHED
        return UpstreamFailure(kind, upstream, f"{failure.step}: {failure.detail}")

    def _count_anomalies(self, stream: EngineStream) -> None:
        if stream.foreign_events:
            self._metrics.count("dropped.crossed_event", stream.foreign_events)
        if stream.duplicate_tokens:
            self._metrics.count("dropped.doubled_token", stream.duplicate_tokens)

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
