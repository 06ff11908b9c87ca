"""One caller's request at an entry node: its runs at upstreams and the answer to the caller."""

import asyncio
from typing import TYPE_CHECKING

import h11
from result import Err

from ..dispatch import (
    Action,
    AttemptFailure,
    Fail,
    FailReason,
    ForwardAnswer,
    Job,
    Refuse,
    RefuseReason,
    Send,
)
from ..fleet import RequestKind, UpstreamEntry
from ..forwarding import AnswerHead, CallerConn, CallerRequest, RequestFacts, UpstreamConn
from .event_buffer import EventBuffer

if TYPE_CHECKING:
    from .front_desk import FrontDesk

__all__ = ["Exchange"]

# The final answer leaves this long before the time is up, so that it arrives in time.
ANSWER_MARGIN_S = 0.01


class Exchange:
    """Carries out the dispatcher's decisions on one request.

    Answers of streams are passed on as they arrive; other answers are read whole first, so that
    an answer that breaks can still be repeated or replaced.
    """

    def __init__(
        self,
        desk: "FrontDesk",
        conn: CallerConn,
        request: CallerRequest,
        facts: RequestFacts,
        job: Job,
    ) -> None:
        self.job = job
        self.facts = facts
        self.done = False
        self._desk = desk
        self._caller = conn
        self._request = request
        self._upstream: UpstreamConn | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._events = EventBuffer()
        self._part_at: float | None = None
        self._run = 0
        self._silence: asyncio.TimerHandle | None = None
        left_s = max(0.0, job.give_up_at - desk.clock() - ANSWER_MARGIN_S)
        self._timer = desk.loop.call_later(left_s, self._time_out)

    # Decisions

    def carry_out(self, action: Action) -> None:
        """Do what the dispatcher decided."""
        if self.done:
            return
        match action:
            case Send(_, instance, repeat):
                self._send(instance, repeat)
            case Refuse(_, reason, retry_after_s):
                self._refuse(reason, retry_after_s)
            case Fail(_, reason):
                self._fail(reason)
            case ForwardAnswer():
                head, body = self.job.stored_answer
                self._answer(head, body)

    # Caller

    def on_caller_gone(self) -> None:
        """End the run: nobody waits for the answer."""
        if self.done:
            return
        self._finish("caller_gone")
        self._desk.perform(self._desk.dispatcher.cancel(self.job, self._desk.clock()))

    def on_caller_slow(self, slow: bool) -> None:
        """Read the upstream no faster than the caller reads."""
        if self._upstream is None:
            return
        if slow:
            self._upstream.pause_reading()
        else:
            self._upstream.resume_reading()

    # Upstream

    def _send(self, instance: str, repeat: bool) -> None:
        entry = self._desk.directory.get(instance)
        if entry is None:
            self._end_run(AttemptFailure.UNSENT, "the upstream is gone")
            return
        self._run += 1
        self._head = None
        self._body.clear()
        self._desk.note_send(self, entry, repeat)
        conn = self._desk.pool.take_idle(instance)
        if conn is not None:
            self._start(conn, entry)
            return
        self._connecting = self._desk.loop.create_task(self._connect(entry, self._run))

    async def _connect(self, entry: UpstreamEntry, run: int) -> None:
        opened = await self._desk.pool.connect(entry.instance, entry.address)
        if self.done or run != self._run:
            if not isinstance(opened, Err):
                opened.ok_value.abort()
            return
        self._connecting = None
        if isinstance(opened, Err):
            exc = opened.err_value
            end = AttemptFailure.NO_LISTENER if exc.step == "refused" else AttemptFailure.UNSENT
            self._end_run(end, exc.detail)
            return
        self._start(opened.ok_value, entry)

    def _start(self, conn: UpstreamConn, entry: UpstreamEntry) -> None:
        now = self._desk.clock()
        self._upstream = conn
        self._desk.dispatcher.record_sent(self.job)
        headers = self._desk.encode_request(
            self._request.headers,
            entry.instance,
            self.job.give_up_at - now,
            self.job.route.priority,
            self.job.last_event_id,
        )
        framed = self._request.body or any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._request.headers
        )
        if framed:
            headers.append((b"Content-Length", str(len(self._request.body)).encode()))
        head = h11.Request(
            method=self._request.method, target=self._request.target, headers=headers
        )
        limit_s = self._desk.dispatcher.silence_limit_s(self.job, now)
        if limit_s is not None:
            self._silence = self._desk.loop.call_later(limit_s, self._give_up_run, self._run)
        conn.send(head, self._request.body, self)

    def on_head(self, head: AnswerHead) -> bool:
        """Take the head of the upstream's answer; False for one of another request."""
        if head.request_id and head.request_id != self.facts.request_id:
            self._desk.note_foreign_answer(self, head)
            return False
        self._head = head
        if self._is_stream and self._head_is_success:
            self._stop_silence()
            self._desk.dispatcher.record_first_event(self.job, self._desk.clock())
            if not self.job.answer_begun:
                self.job.answer_begun = True
                self._caller.start(head.status, head.passed_headers)
        return True

    def on_body(self, data: bytes) -> None:
        """Take a part of the answer."""
        if not self._passes_on:
            self._body += data
            return
        self._note_part()
        if not self.job.route.resumable:
            self._caller.write(data)
            return
        self._caller.write(self._events.feed(data))
        self.job.last_event_id = self._events.last_id or self.job.last_event_id

    def _note_part(self) -> None:
        """Note the pause before a part of a stream, runs at several upstreams included."""
        now = self._desk.clock()
        if self._part_at is not None:
            pause_ms = round((now - self._part_at) * 1000)
            self.job.longest_pause_ms = max(self.job.longest_pause_ms, pause_ms)
        self._part_at = now

    def on_end(self) -> None:
        """Take the end of a complete answer."""
        head = self._head
        assert head is not None
        self._upstream = None
        self._stop_silence()
        if self._passes_on:
            self._caller.finish(self._events.take_rest() if self.job.route.resumable else b"")
            self._succeed()
        elif head.not_run:
            self._end_run(self._declined(head), f"status {head.status}")
        elif not head.sealed or head.encoded:
            self._end_run(AttemptFailure.BROKEN, f"status {head.status} without a usable body")
        elif head.status >= 500:
            self.job.stored_answer = (head, bytes(self._body))
            self._end_run(AttemptFailure.ERROR, f"status {head.status}")
        else:
            self._answer(head, bytes(self._body))
            self._succeed()

    def on_broken(self, detail: str) -> None:
        """Take that the upstream's answer will not be complete."""
        self._upstream = None
        self._events.drop_rest()
        self._end_run(AttemptFailure.BROKEN, detail)

    def _end_run(self, end: AttemptFailure, detail: str) -> None:
        if self.done:
            return
        self._stop_silence()
        self._desk.note_run_failed(self, end, detail)
        self._desk.perform(self._desk.dispatcher.fail(self.job, end, self._desk.clock()))

    def _give_up_run(self, run: int) -> None:
        if self.done or run != self._run or self._head is not None:
            return
        if self._upstream is not None:
            self._upstream.abort()
            self._upstream = None
        self._end_run(AttemptFailure.SILENT, "no answer in time")

    def _declined(self, head: AnswerHead) -> AttemptFailure:
        if head.status == 421:
            # Without an id of its own in the answer, the upstream is the expected one and does
            # not hold the model or adapter.
            other = self._desk.names_other_instance(head, self.job)
            return AttemptFailure.OTHER_INSTANCE if other else AttemptFailure.NOT_RESIDENT
        return AttemptFailure.NOT_RUN

    # Ends

    @property
    def _is_stream(self) -> bool:
        return self.job.route.kind is RequestKind.STREAM

    @property
    def _passes_on(self) -> bool:
        return self._is_stream and self.job.answer_begun and self._head_is_success

    @property
    def _head_is_success(self) -> bool:
        head = self._head
        return head is not None and head.succeeded and head.sealed and not head.encoded

    def _succeed(self) -> None:
        self._finish("served")
        self._desk.perform(self._desk.dispatcher.succeed(self.job, self._desk.clock()))

    def _answer(self, head: AnswerHead, body: bytes) -> None:
        if not self.done:
            self._finish("answered")
            self._caller.send(head.status, head.passed_headers, body)

    def _refuse(self, reason: RefuseReason, retry_after_s: float | None) -> None:
        self._finish("refused", reason.value, retry_after_s=retry_after_s)
        self._desk.send_refusal(self._caller, self.facts, reason, retry_after_s)

    def _fail(self, reason: FailReason) -> None:
        self._finish("failed", reason.value)
        if self.job.answer_begun:
            self._caller.abort()
            return
        status = 504 if reason is FailReason.DEADLINE else 502
        self._desk.send_failure(self._caller, self.facts, status, reason)

    def _time_out(self) -> None:
        if not self.done:
            self._desk.perform(self._desk.dispatcher.expire(self.job, self._desk.clock()))

    def _finish(self, outcome: str, reason: str = "", **fields: object) -> None:
        """Release everything; the answer itself is written by the caller of this method."""
        if self.done:
            return
        self.done = True
        self._timer.cancel()
        self._stop_silence()
        self._connecting = None
        if self._upstream is not None:
            self._upstream.abort()
            self._upstream = None
        self._desk.note_end(self, outcome, reason, **fields)

    def _stop_silence(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None
