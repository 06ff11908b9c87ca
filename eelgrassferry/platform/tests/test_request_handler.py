"""Tests of the handling of several requests, one of which raises an error."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import AsyncMock, Mock, patch

import h11
from result import Ok
from structlog.testing import capture_logs

from ...dispatch import AttemptFailure, Fail, FailReason, UpstreamLoad
from ...dispatch.leaving_policy import INITIAL_ANSWER_BYTES
from ...dispatch.tests.fixtures import DispatcherFixture, make_route
from ...entry.request_handler import RequestHandler
from ...fleet import Backend, FleetConfig, RequestKind, Service
from ...forwarding import AnswerHead, CallerServer
from ...forwarding.caller_conn import CallerConn
from ...forwarding.tests.fake_transport import FakeTransport
from ...metrics import Metrics
from ..request_codec import decode_request, encode_request

REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: h\r\nEelgrassferry-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
)


class FakeUpstreamConn:
    """Connection to an upstream whose answers a test feeds to the listener."""

    is_open = True

    def __init__(self):
        self.listener = None
        self.request = None
        self.aborted = False

    def send(self, request, _body, listener, _request_id):
        self.request = request
        self.listener = listener

    def abort(self):
        self.aborted = True


class RequestHandlerCase(unittest.IsolatedAsyncioTestCase):
    """A request handler with idle connections to plain upstreams."""

    KIND = RequestKind.NON_IDEMPOTENT

    async def asyncSetUp(self):
        fixture = DispatcherFixture()
        self.dispatcher, self.metrics = fixture.dispatcher, Metrics()
        self.upstream_conns: list[FakeUpstreamConn] = []
        protocol = Mock(decode_request=decode_request, encode_request=encode_request)
        pool = Mock(take_idle=lambda *_: self.take_idle())
        self.handler = RequestHandler(
            protocol,
            self.dispatcher,
            fixture.directory,
            pool,
            self.metrics,
            lambda: 0.0,
            lambda: (1, 0.0),
            Mock(),
            Mock(),
        )
        route = replace(
            make_route(self.KIND, resumable=True, max_attempts=2), backends=(Backend("desk", 1.0),)
        )
        self.handler.set_config(FleetConfig(1, (route,), {"desk": Service("desk")}))
        self.server = CallerServer(self.handler.accept, Mock(), lambda: 0.0)
        self.logs = self.enterContext(capture_logs())

    def take_idle(self) -> FakeUpstreamConn:
        self.upstream_conns.append(FakeUpstreamConn())
        return self.upstream_conns[-1]

    def open_conn(self) -> tuple[CallerConn, FakeTransport]:
        """Return a caller's connection and its transport."""
        conn, transport = CallerConn(self.server), FakeTransport()
        conn._transport = transport
        self.server.conns.add(conn)
        return conn, transport

    def send(self, request_id: bytes) -> FakeTransport:
        """Send a request on a new connection and return its transport."""
        conn, transport = self.open_conn()
        conn.data_received(REQUEST % request_id)
        return transport

    def serve(self, conn: FakeUpstreamConn, request_id: str, status: int = 200) -> None:
        """Answer the request on an upstream's connection."""
        head = AnswerHead(status, request_id, False, True, False, None, False, ())
        conn.listener.on_head(head)
        conn.listener.on_body(b"done")
        conn.listener.on_end()

    def assert_others_are_served(self) -> None:
        """Check that a further request is served."""
        transport = self.send(b"other")
        self.serve(self.upstream_conns[-1], "other")
        self.assertIn(b" 200 ", transport.written)


class ErrorTest(RequestHandlerCase):
    """Errors in the handling of one request."""

    async def test_an_action_that_raises_ends_its_request_only(self):
        """Guards against a node that carries out no action any more, of any request, after one
        action has raised an error (review case 1).
        """
        self.send(b"r0")
        first, second = self.send(b"r1"), self.send(b"r2")
        jobs = [conn.listener.job for conn in self.upstream_conns]
        instance = jobs[1].attempt.instance
        with patch.object(jobs[1].exchange, "_fail", side_effect=h11.LocalProtocolError("head")):
            self.handler.perform([Fail(job, FailReason.DEADLINE) for job in jobs[1:]])
        self.assertIn(b" 500 ", first.written)
        self.assertIn(b"internal_error", first.written)
        self.assertIn(b" 504 ", second.written)
        self.assertTrue(self.upstream_conns[1].aborted)
        self.assertEqual(self.metrics.counters["requests_abandoned"], 1)
        (line,) = [line for line in self.logs if line["event"] == "request abandoned"]
        self.assertEqual((line["request_id"], line["upstream"]), ("r1", instance))
        self.assertEqual(self.handler.in_flight, 1)
        self.assert_others_are_served()

    async def test_an_error_behind_the_head_closes_the_connection(self):
        """Guards against an answer that looks complete although handling it has failed."""
        transport = self.send(b"r1")
        exchange = self.upstream_conns[0].listener
        exchange._caller_conn.start(200, [])
        with patch.object(exchange, "_fail", side_effect=RuntimeError("bug")):
            self.handler.perform([Fail(exchange.job, FailReason.DEADLINE)])
        self.assertTrue(transport.aborted)
        self.assert_others_are_served()

    async def test_an_error_in_a_callback_ends_the_request(self):
        """Guards against a request without a final answer when the dispatcher raises an error as an
        attempt, or the time, ends.
        """
        for callback, args, method in (
            ("on_broken", ("reset",), "fail"),
            ("_on_deadline", (), "expire"),
            ("on_end", (), "succeed"),
        ):
            with self.subTest(callback=callback):
                transport = self.send(b"r1")
                exchange = self.upstream_conns[-1].listener
                exchange.on_head(AnswerHead(200, "r1", False, True, False, None, False, ()))
                with patch.object(self.dispatcher, method, side_effect=ValueError("bug")):
                    getattr(exchange, callback)(*args)
                self.assertTrue(exchange.done)
                self.assertTrue(exchange.job.closed)
                self.assertTrue(transport.written)
                self.assertEqual(self.handler.in_flight, 0)
        self.assert_others_are_served()

    async def test_an_error_while_a_request_is_accepted_closes_its_connection(self):
        """Guards against a connection that stays open without an answer."""
        conn, transport = self.open_conn()
        with patch.object(self.handler, "_make_job", side_effect=ValueError("weights")):
            conn.data_received(REQUEST % b"r1")
        self.assertTrue(transport.aborted)
        self.assert_others_are_served()

    async def test_an_error_while_a_request_is_dispatched_is_answered(self):
        """Guards against a request that hangs because the choice of an upstream raised an error."""
        with patch.object(self.dispatcher, "submit", side_effect=ZeroDivisionError("slots")):
            transport = self.send(b"r1")
        self.assertIn(b" 500 ", transport.written)
        self.assert_others_are_served()


class LeavingTest(RequestHandlerCase):
    """A request that leaves the failure domain of the node."""

    async def test_cause_and_bytes_are_counted_and_logged(self):
        """Guards against bytes between domains whose cause an operator cannot see, against counting
        those of requests that stay, and against answers whose size is not learnt.
        """
        self.send(b"r1")
        self.serve(self.upstream_conns[0], "r1")
        self.assertFalse(any(name.startswith("left_domain") for name in self.metrics.counters))
        self.dispatcher.set_other_loads({"d0": UpstreamLoad(requests=15)}, 0.0)
        self.send(b"r2")
        self.serve(self.upstream_conns[1], "r2")
        self.assertEqual(self.metrics.counters["left_domain.full"], 1)
        self.assertEqual(self.metrics.counters["left_domain_bytes.full"], len(b"done"))
        leaving = self.dispatcher.selector.leaving
        self.assertLess(leaving._answer_bytes["r"], INITIAL_ANSWER_BYTES)
        causes = [line["left_domain"] for line in self.logs if line["event"] == "request sent"]
        self.assertEqual(causes, ["", "full"])


class NewConnectionTest(RequestHandlerCase):
    """An upstream that resets a new connection before a request is sent on it."""

    def take_idle(self) -> None:
        return None

    async def test_request_is_sent_elsewhere(self):
        """Guards against a request that waits for its deadline, and may then count as run, although
        no byte of it was sent.
        """
        opened = [FakeUpstreamConn() for _ in range(2)]
        opened[0].is_open = False
        self.handler.pool.connect = AsyncMock(side_effect=[Ok(conn) for conn in opened])
        transport = self.send(b"r1")
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertIsNone(opened[0].listener)
        self.assertEqual(self.metrics.counters[f"run_failed.{AttemptFailure.UNSENT.value}"], 1)
        self.serve(opened[1], "r1")
        self.assertIn(b" 200 ", transport.written)


class UnmarkedRejectionTest(RequestHandlerCase):
    """An upstream that answers 503 and the like without the statement that nothing has run."""

    async def test_request_that_may_run_once_is_not_refused(self):
        """Guards against a caller that repeats a request which has run: these statuses promise that
        it has not, and the upstream did not say so.
        """
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                transport = self.send(b"r1")
                self.serve(self.upstream_conns[-1], "r1", status=status)
                self.assertIn(b"HTTP/1.1 502 ", transport.written)
                self.assertIn(b'"unknown"', transport.written)

    async def test_other_failures_are_passed_on(self):
        """Guards against a failure of our own in place of the upstream's."""
        for status in (400, 404, 500, 504):
            transport = self.send(b"r1")
            self.serve(self.upstream_conns[-1], "r1", status=status)
            self.assertIn(b"HTTP/1.1 %d " % status, transport.written)
            self.assertIn(b"done", transport.written)


class RepeatableRejectionTest(RequestHandlerCase):
    """The same for a request that may run more than once."""

    KIND = RequestKind.IDEMPOTENT

    async def test_rejection_is_passed_on(self):
        """Guards against a changed status where a repetition does no harm."""
        transport = self.send(b"r1")
        for conn in range(2):
            self.serve(self.upstream_conns[conn], "r1", status=503)
        self.assertIn(b"HTTP/1.1 503 ", transport.written)
        self.assertIn(b"done", transport.written)


class RefusedResumptionTest(RequestHandlerCase):
    """A stream that is resumed at an upstream which refuses the resumption."""

    KIND = RequestKind.STREAM

    async def test_a_client_error_does_not_follow_the_events(self):
        """Guards against a second answer behind the events of a stream: a 4xx answer to the
        resumption was sent as the answer to the request.
        """
        transport = self.send(b"r1")
        stream = self.upstream_conns[0].listener
        stream.on_head(AnswerHead(200, "r1", False, True, False, None, False, ()))
        stream.on_body(b"id: 1\ndata: a\n\n")
        stream.on_broken("reset")
        self.serve(self.upstream_conns[1], "r1", status=404)
        self.assertEqual(transport.written.count(b"HTTP/1.1"), 1)
        self.assertTrue(transport.aborted)
        self.assertEqual(self.metrics.counters.get("requests_abandoned", 0), 0)
        self.assertEqual(self.metrics.counters[f"run_failed.{AttemptFailure.ERROR.value}"], 1)
