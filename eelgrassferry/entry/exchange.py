"""One caller's request at an entry node: its attempts at upstreams and the answer to the caller."""

import asyncio
from collections.abc import Callable
from functools import wraps
from typing import TYPE_CHECKING, Any

import h11
from result import Err, Result

from ..dispatch import (
    Abandon,
    Action,
    AttemptFailure,
    Fail,
    FailReason,
    ForwardAnswer,
    Job,
    Probe,
    Refuse,
    RefuseReason,
    Send,
)
from ..fleet import NO_NOTICE, RequestKind, UpstreamEntry
from ..forwarding import AnswerHead, CallerConn, CallerRequest, RequestMetadata, UpstreamConn
from ..http import HttpError
from .event_buffer import EventBuffer

if TYPE_CHECKING:
    from .request_handler import RequestHandler

__all__ = ["Exchange"]

# The final answer is sent this long before the deadline, so that it arrives in time, in seconds.
ANSWER_MARGIN_S = 0.01
# Limit of the bytes of one answer that a node buffers: a whole answer that is not streamed, or the
# part of a stream after its last complete event. An upstream that sends more is treated as broken,
# because bytes without end would use up the memory of the node.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# Answers up to this size are not counted in the budget of memory while they arrive.
SMALL_ANSWER_BYTES = 16 * 1024
# Statuses that tell callers that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def _contained(callback: Callable[..., Any]) -> Callable[..., Any]:
    """Return a callback of an exchange in which an error ends the request of the exchange.

    Without it, the event loop only logs the error, and the request gets no final answer.
    """

    @wraps(callback)
    def call(exchange: "Exchange", *args: Any) -> Any:
        try:
            return callback(exchange, *args)
        except Exception as exc:
            exchange._handler.abandon(exchange, exc)
            return None

    return call


class Exchange:
    """The forwarding of one request, as directed by the dispatcher.

    ``answer_bytes`` is the number of bytes of the answer's body that the current attempt received,
    and ``leave_cause`` why that attempt left the failure domain, "" if it did not.

    Streamed answers are relayed as they arrive. Other answers are read completely first, so that
    the request can still be retried or refused if the upstream's answer breaks off.
    """

    def __init__(
        self,
        handler: "RequestHandler",
        conn: CallerConn,
        request: CallerRequest,
        facts: RequestMetadata,
        job: Job,
    ) -> None:
        self.job = job
        self.facts = facts
        self.done = False
        self.answer_bytes = 0
        self.leave_cause = ""
        self._handler = handler
        self._caller_conn = conn
        self._request = request
        self._upstream_conn: UpstreamConn | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._answer_head: AnswerHead | None = None
        self._body = bytearray()
        self._events = EventBuffer()
        self._last_chunk_at: float | None = None
        self._attempt_number = 0
        self._response_timer: asyncio.TimerHandle | None = None
        remaining_s = max(0.0, job.give_up_at - handler.clock() - ANSWER_MARGIN_S)
        self._deadline_timer = handler.loop.call_later(remaining_s, self._on_deadline)

    @property
    def events(self) -> int:
        """Number of complete events that were received of all attempts."""
        return self._events.count

    # Actions of the dispatcher

    def carry_out(self, action: Action) -> None:
        """Execute an action of the dispatcher, unless the request has ended."""
        if self.done:
            return
        match action:
            case Send(_, instance, repeat):
                self._send(instance, repeat)
            case Refuse(_, reason, retry_after_s):
                self._refuse(reason, retry_after_s)
            case Fail(_, reason):
                self._fail(reason)
            case Probe(_, instance):
                self._handler.probe(instance)
            case ForwardAnswer():
                head, body = self.job.stored_answer
                self._send_answer(head, body)
            case Abandon(_, error):
                self._handler.abandon(self, error)

    # Caller

    @_contained
    def on_caller_gone(self) -> None:
        """Cancel the request, because the caller has disconnected."""
        if self.done:
            return
        self._finish("caller_gone")
        self._handler.perform(self._handler.dispatcher.cancel(self.job, self._handler.clock()))

    @_contained
    def on_caller_slow(self, slow: bool) -> None:
        """Pause or resume reading from the upstream, at the caller's reading speed."""
        if self._upstream_conn is None:
            return
        if slow:
            self._upstream_conn.pause_reading()
        else:
            self._upstream_conn.resume_reading()

    # Upstream

    def _send(self, instance: str, repeat: bool) -> None:
        entry = self._handler.directory.get(instance)
        if entry is None:
            self._fail_attempt(AttemptFailure.UNSENT, "the upstream is gone")
            return
        self._attempt_number += 1
        self._answer_head = None
        if self.answer_bytes:
            self._caller_conn.hold_answer(0)
            self._handler.answer_gate.leave(self)
        self.answer_bytes = 0
        self.leave_cause = self.job.attempt.leave_cause if self.job.attempt else ""
        self._body.clear()
        self._handler.record_send(self, entry, repeat)
        conn = self._handler.pool.take_idle(instance, self.facts.request_id)
        if conn is not None:
            self._send_on(conn, entry)
            return
        self._connect_task = self._handler.loop.create_task(
            self._connect(entry, self._attempt_number)
        )

    async def _connect(self, entry: UpstreamEntry, attempt_number: int) -> None:
        started_at = self._handler.clock()
        result = await self._handler.pool.connect(entry.instance, entry.address)
        if not isinstance(result, Err):
            took_s = self._handler.clock() - started_at
            self._handler.dispatcher.record_connected(entry, took_s)
        self._on_connected(entry, attempt_number, result)

    @_contained
    def _on_connected(
        self, entry: UpstreamEntry, attempt_number: int, result: Result[UpstreamConn, HttpError]
    ) -> None:
        if self.done or attempt_number != self._attempt_number:
            if not isinstance(result, Err):
                result.ok_value.abort()
            return
        self._connect_task = None
        if isinstance(result, Err):
            exc = result.err_value
            end = AttemptFailure.NO_LISTENER if exc.step == "refused" else AttemptFailure.UNSENT
            self._fail_attempt(end, exc.detail)
            return
        conn = result.ok_value
        if not conn.is_open:
            # The upstream has reset the connection before this task went on.
            self._fail_attempt(AttemptFailure.UNSENT, "the upstream closed the new connection")
            return
        self._send_on(conn, entry)

    def _send_on(self, conn: UpstreamConn, entry: UpstreamEntry) -> None:
        now = self._handler.clock()
        self._upstream_conn = conn
        self._handler.dispatcher.record_sent(self.job)
        headers = self._handler.encode_request(
            self._request.headers,
            entry.instance,
            self.job.give_up_at - now,
            self.job.priority,
            self.job.last_event_id,
            self._handler.tenant_to_name(self.job),
        )
        has_body = self._request.body or any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._request.headers
        )
        if has_body:
            headers.append((b"Content-Length", str(len(self._request.body)).encode()))
        head = h11.Request(
            method=self._request.method, target=self._request.target, headers=headers
        )
        timeout_s = self._handler.dispatcher.silence_limit_s(self.job, now)
        if timeout_s is not None:
            self._response_timer = self._handler.loop.call_later(
                timeout_s, self._on_response_timeout, self._attempt_number
            )
        conn.send(head, self._request.body, self, self.facts.request_id)

    @_contained
    def on_head(self, head: AnswerHead) -> bool:
        """Process the head of an answer; return False if it answers another request.

        The answer to the caller begins with the first successful head of a stream; a resumed stream
        continues that answer.
        """
        if head.request_id and head.request_id != self.facts.request_id:
            self._handler.record_mismatched_answer(self, head)
            return False
        self._answer_head = head
        self._record_notice(head)
        if self._is_stream and self._is_success:
            self._cancel_response_timer()
            self._handler.dispatcher.record_first_event(self.job, self._handler.clock())
            if not self.job.answer_begun:
                self.job.answer_begun = True
                self._caller_conn.start(head.status, head.forwarded_headers)
        return True

    def _record_notice(self, head: AnswerHead) -> None:
        """Record what the upstream says of itself.

        An answer without a notice ends a limit, unless an intermediary may have written it.
        """
        is_own_answer = head.sealed or head.not_run or head.notice != NO_NOTICE
        if is_own_answer and not self._handler.is_from_other_instance(head, self.job):
            self._handler.dispatcher.record_notice(self.job, head.notice, self._handler.clock())

    @_contained
    def on_body(self, data: bytes) -> None:
        """Relay or buffer a part of the answer's body."""
        self.answer_bytes += len(data)
        if not self._is_relaying:
            self._body += data
            if len(self._body) > MAX_BUFFERED_BYTES:
                self._abandon_answer()
            elif len(self._body) > SMALL_ANSWER_BYTES:
                self._caller_conn.hold_answer(len(self._body))
                self._handler.answer_gate.admit(self)
            return
        self._record_pause()
        complete = self._events.feed(data)
        if complete:
            self._handler.dispatcher.record_answered(self.job, self._handler.clock())
        if self.job.route.resumable:
            self._caller_conn.write(complete)
            self.job.last_event_id = self._events.last_id or self.job.last_event_id
        else:
            self._caller_conn.write(data)
        if self._events.incomplete_bytes > MAX_BUFFERED_BYTES:
            self._abandon_answer()

    def pause_answer(self) -> None:
        """Stop reading the answer in arrival."""
        if self._upstream_conn is not None:
            self._upstream_conn.pause_reading()

    def resume_answer(self) -> None:
        """Go on reading the answer in arrival."""
        if self._upstream_conn is not None:
            self._upstream_conn.resume_reading()

    def _abandon_answer(self) -> None:
        """Close the connection to an upstream whose answer cannot be buffered."""
        if self._upstream_conn is not None:
            self._upstream_conn.abort()
        self._body.clear()
        self.on_broken(f"more than {MAX_BUFFERED_BYTES} bytes have to be buffered")

    def _record_pause(self) -> None:
        """Update the longest pause between two parts of a stream, across all attempts."""
        now = self._handler.clock()
        if self._last_chunk_at is not None:
            pause_ms = round((now - self._last_chunk_at) * 1000)
            self.job.longest_pause_ms = max(self.job.longest_pause_ms, pause_ms)
        self._last_chunk_at = now

    @_contained
    def on_end(self) -> None:
        """Deliver a complete answer, or report the attempt as failed if the answer is unusable."""
        head = self._answer_head
        assert head is not None
        self._upstream_conn = None
        self._cancel_response_timer()
        if self._is_relaying and self._events.incomplete_bytes:
            self.on_broken("the stream ended inside an event")
        elif self._is_relaying:
            self._caller_conn.finish()
            self._succeed()
        elif head.not_run:
            self._fail_attempt(self._classify_not_run(head), f"status {head.status}")
        elif not head.sealed or head.encoded:
            self._fail_attempt(AttemptFailure.BROKEN, f"status {head.status} without a usable body")
        elif head.status in NOT_RUN_STATUSES and not self.job.route.repeatable:
            # The upstream has not stated that it did not run the request, so the caller must not
            # be told that it may repeat it.
            self._fail_attempt(AttemptFailure.ERROR, f"status {head.status} of a possible run")
        elif head.status >= 500 or self.job.answer_begun:
            # The answer to a resumption of a stream cannot be sent, because another one has begun.
            self.job.stored_answer = (head, bytes(self._body))
            self._fail_attempt(AttemptFailure.ERROR, f"status {head.status}")
        else:
            self._send_answer(head, bytes(self._body))
            self._succeed()

    @_contained
    def on_broken(self, detail: str) -> None:
        """Report the attempt as failed, because its answer broke off."""
        self._upstream_conn = None
        self._events.discard_incomplete()
        self._fail_attempt(AttemptFailure.BROKEN, detail)

    def _fail_attempt(self, end: AttemptFailure, detail: str) -> None:
        if self.done:
            return
        self._cancel_response_timer()
        # The next attempt may have to wait; meanwhile another answer goes on.
        self._handler.answer_gate.leave(self)
        self._handler.record_failed_attempt(self, end, detail)
        self._handler.perform(self._handler.dispatcher.fail(self.job, end, self._handler.clock()))

    @_contained
    def _on_response_timeout(self, attempt_number: int) -> None:
        if self.done or attempt_number != self._attempt_number or self._answer_head is not None:
            return
        if self._upstream_conn is not None:
            self._upstream_conn.abort()
            self._upstream_conn = None
        self._fail_attempt(AttemptFailure.SILENT, "no answer in time")

    def _classify_not_run(self, head: AnswerHead) -> AttemptFailure:
        if head.status == 421:
            # An answer without an instance id comes from the expected instance, on which the
            # model or adapter is not resident.
            is_other_instance = self._handler.is_from_other_instance(head, self.job)
            return (
                AttemptFailure.OTHER_INSTANCE if is_other_instance else AttemptFailure.NOT_RESIDENT
            )
        return AttemptFailure.NOT_RUN

    # Outcomes

    @property
    def _is_stream(self) -> bool:
        return self.job.route.kind is RequestKind.STREAM

    @property
    def _is_relaying(self) -> bool:
        return self._is_stream and self.job.answer_begun and self._is_success

    @property
    def _is_success(self) -> bool:
        head = self._answer_head
        return head is not None and head.succeeded and head.sealed and not head.encoded

    def _succeed(self) -> None:
        self._finish("served")
        self._handler.perform(self._handler.dispatcher.succeed(self.job, self._handler.clock()))

    def _send_answer(self, head: AnswerHead, body: bytes) -> None:
        if not self.done:
            self._finish("answered")
            self._caller_conn.send(head.status, head.forwarded_headers, body)

    def _refuse(self, reason: RefuseReason, retry_after_s: float | None) -> None:
        self._finish("refused", reason.value, retry_after_s=retry_after_s)
        self._handler.send_refusal(self._caller_conn, self.facts, reason, retry_after_s)

    def _fail(self, reason: FailReason) -> None:
        self._finish("failed", reason.value)
        if self.job.answer_begun:
            self._caller_conn.abort()
            return
        status = 504 if reason is FailReason.DEADLINE else 502
        self._handler.send_failure(self._caller_conn, self.facts, status, reason)

    @_contained
    def _on_deadline(self) -> None:
        if not self.done:
            self._handler.perform(self._handler.dispatcher.expire(self.job, self._handler.clock()))

    def abandon(self) -> None:
        """End the request, because handling it has raised an error.

        The caller gets a failure, or a closed connection if a failure cannot be sent.
        """
        conn = self._caller_conn
        try:
            self._finish("failed", FailReason.INTERNAL_ERROR.value)
            if conn.is_answering(self) and conn.can_start_answer:
                self._handler.send_failure(conn, self.facts, 500, FailReason.INTERNAL_ERROR)
        finally:
            if conn.is_answering(self):
                conn.abort()

    def _finish(self, outcome: str, reason: str = "", **fields: object) -> None:
        """Release timers and connections and record the outcome.

        The calling method sends the answer itself.
        """
        if self.done:
            return
        self.done = True
        self._deadline_timer.cancel()
        self._cancel_response_timer()
        self._connect_task = None
        if self._upstream_conn is not None:
            self._upstream_conn.abort()
            self._upstream_conn = None
        # The job and this exchange refer to each other, so what they hold is freed late.
        self._body = bytearray()
        self._request = CallerRequest(self._request.method, self._request.target, (), b"")
        if self.answer_bytes > SMALL_ANSWER_BYTES:
            self._handler.answer_gate.leave(self)
        self._handler.record_outcome(self, outcome, reason, **fields)

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None
