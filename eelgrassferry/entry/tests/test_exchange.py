"""Tests of one request's exchange with an upstream that is in trouble."""

import unittest
from unittest.mock import Mock

from ...dispatch import AttemptFailure, Job
from ...dispatch.tests.fixtures import make_route
from ...fleet import NO_NOTICE, RequestKind, UpstreamNotice
from ...forwarding import AnswerHead, RequestMetadata
from ..exchange import MAX_BUFFERED_BYTES, Exchange

PART = b"x" * 65_536


def make_exchange(kind: RequestKind, **route: object) -> Exchange:
    """Return the exchange of a request that was sent to an upstream."""
    job = Job("r1", "s", make_route(kind, **route), 0.0, 4.0)
    exchange = Exchange(Mock(**{"clock.return_value": 0.0}), Mock(), Mock(), Mock(), job)
    exchange.facts = RequestMetadata("r1", "h", 4.0)
    exchange._upstream_conn = Mock()
    return exchange


def make_head(status: int = 200, sealed: bool = True) -> AnswerHead:
    """Return the head of an answer to request r1."""
    head = Mock(spec=AnswerHead, status=status, sealed=sealed, encoded=False, request_id="r1")
    head.succeeded, head.not_run, head.forwarded_headers = status < 300, False, []
    head.notice = NO_NOTICE
    return head


class EndlessBytesTest(unittest.TestCase):
    """An upstream sends bytes without end where an answer or an event is due."""

    def check_abandoned(self, exchange: Exchange, conn: Mock) -> None:
        """Send more than may be buffered; check that the attempt then fails and is closed."""
        fail = exchange._handler.dispatcher.fail
        for _ in range(MAX_BUFFERED_BYTES // len(PART)):
            exchange.on_body(PART)
        fail.assert_not_called()
        exchange.on_body(PART)
        conn.abort.assert_called_once()
        self.assertIs(fail.call_args.args[1], AttemptFailure.BROKEN)

    def test_whole_answer_is_bounded(self):
        """Guards against an answer without end that uses up the memory of the node."""
        exchange = make_exchange(RequestKind.IDEMPOTENT)
        conn = exchange._upstream_conn
        exchange.on_head(make_head())
        self.check_abandoned(exchange, conn)
        self.assertEqual(len(exchange._body), 0)

    def test_answer_that_is_not_passed_on_is_bounded(self):
        """Guards against bytes without end behind a head without the upstream's seal."""
        exchange = make_exchange(RequestKind.STREAM)
        conn = exchange._upstream_conn
        exchange.on_head(make_head(sealed=False))
        self.check_abandoned(exchange, conn)

    def test_event_without_end_is_bounded(self):
        """Guards against a resumable stream whose event never ends, which is kept until it does."""
        exchange = make_exchange(RequestKind.STREAM, resumable=True)
        conn = exchange._upstream_conn
        exchange.on_head(make_head())
        exchange._caller_conn.write.return_value = None
        exchange.on_body(b"id: 1\ndata: a\n\n")
        self.check_abandoned(exchange, conn)
        self.assertEqual(exchange.job.last_event_id, "1")

    def test_long_stream_of_complete_events_is_not_bounded(self):
        """Guards against cutting a sound stream because it is long."""
        exchange = make_exchange(RequestKind.STREAM, resumable=True)
        exchange.on_head(make_head())
        event = b"id: 2\ndata: " + PART + b"\n\n"
        for _ in range(2 * MAX_BUFFERED_BYTES // len(PART)):
            exchange.on_body(event)
        exchange._handler.dispatcher.fail.assert_not_called()


class NoticeTest(unittest.TestCase):
    """What an upstream says of itself in the head of an answer."""

    def recorded(self, sealed: bool, notice: UpstreamNotice) -> bool:
        """Return whether the notice of an answer reaches the dispatcher."""
        exchange = make_exchange(RequestKind.IDEMPOTENT)
        exchange._handler.is_from_other_instance.return_value = False
        head = make_head(sealed=sealed)
        head.notice = notice
        exchange.on_head(head)
        return exchange._handler.dispatcher.record_notice.called

    def test_answers_of_the_upstream_are_recorded(self):
        """Guards against a limit that is kept after an answer without it."""
        self.assertTrue(self.recorded(True, NO_NOTICE))
        self.assertTrue(self.recorded(True, UpstreamNotice(limit_per_s=2.0)))

    def test_answer_without_seal_and_notice_says_nothing(self):
        """Guards against an intermediary's answer that ends a limit."""
        self.assertFalse(self.recorded(False, NO_NOTICE))
        self.assertTrue(self.recorded(False, UpstreamNotice(pause_s=2.0)))
