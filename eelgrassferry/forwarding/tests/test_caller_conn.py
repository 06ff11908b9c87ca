"""Tests of callers' connections at the level of bytes."""

import asyncio
import unittest
from unittest import mock

from ...fleet import CallerLimits
from ..caller_conn import CallerConn
from ..caller_server import CallerServer
from .fake_transport import FakeTransport

GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class CallerConnTest(unittest.TestCase):
    """Requests on one connection, which are recorded and answered by the test."""

    def setUp(self):
        self.now = 0.0
        self.requests = []
        self.rejected = []
        self.server = CallerServer(
            self.accept, lambda *rejection: self.rejected.append(rejection), lambda: self.now
        )
        self.conn = CallerConn(self.server)
        self.transport = FakeTransport()
        self.conn._transport = self.transport
        self.server.conns.add(self.conn)

    def accept(self, _conn, request):
        self.requests.append(request)

    def test_request_is_accepted_when_it_is_complete(self):
        """Guards against forwarding a request of which only a part of the body has arrived."""
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.conn.data_received(head + b"3\r\nabc\r\n")
        self.assertEqual(self.requests, [])
        self.conn.data_received(b"2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(self.requests[0].body, b"abcde")

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against mixed-up answers when a caller sends two requests at once."""
        self.conn.data_received(GET + GET.replace(b"/x", b"/y"))
        self.assertEqual([r.path for r in self.requests], ["/x"])
        self.conn.send(200, [], b"one")
        self.assertEqual([r.path for r in self.requests], ["/x", "/y"])
        self.conn.send(200, [], b"two")
        self.assertLess(self.transport.written.index(b"one"), self.transport.written.index(b"two"))

    def test_broken_stream_does_not_look_complete(self):
        """Guards against a partial answer that a caller takes for a complete one.

        When an upstream fails in the middle of a stream, no final chunk may be sent.
        """
        self.conn.data_received(GET)
        self.conn.start(200, [])
        self.conn.write(b"part")
        self.conn.abort()
        self.assertTrue(self.transport.aborted)
        self.assertNotIn(b"0\r\n\r\n", self.transport.written)

    def test_oversized_body_and_headers(self):
        """Guards against memory exhaustion by requests of unlimited size."""
        self.server.limits = CallerLimits(max_header_bytes=200, max_body_bytes=10)
        self.conn.data_received(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"x" * 11
        )
        self.assertIn(b" 413 ", self.transport.written)
        self.setUp()
        self.server.limits = CallerLimits(max_header_bytes=200)
        self.conn.data_received(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 300 + b"\r\n\r\n")
        self.assertIn(b" 431 ", self.transport.written)

    def test_two_lengths_are_refused(self):
        """Guards against request smuggling.

        With two contradicting lengths, a request hidden in the body of another one would be run.
        """
        self.conn.data_received(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\nGET /"
        )
        self.assertEqual(self.requests, [])
        self.assertIn(b" 400 ", self.transport.written)

    def test_idle_connection_stays_open_for_the_limit(self):
        """Guards against closing a connection that the caller may still reuse."""
        self.server.limits = CallerLimits(idle_timeout_s=15.0)
        self.now = 15.5
        self.server.sweep()
        self.assertFalse(self.transport.closed)
        self.now = 16.5
        self.server.sweep()
        self.assertTrue(self.transport.closed)

    def test_slow_request_gets_408(self):
        """Guards against connections that an incomplete request keeps open forever."""
        self.conn.data_received(b"GET /x HTTP/1.1\r\n")
        self.now = 11.0
        self.server.sweep()
        self.assertIn(b" 408 ", self.transport.written)

    def test_part_of_a_request_sent_ahead_is_timed_out(self):
        """Guards against the body of a second request that is kept until the idle timeout, because
        its head came along with the first request.
        """
        head = b"POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        self.conn.data_received(GET + head + b"part")
        self.conn.send(200, [], b"one")
        self.now = self.server.limits.header_timeout_s + 1.0
        self.server.sweep()
        self.assertIn(b"408", self.transport.written)

    def test_connection_turned_away_before_it_was_made(self):
        """Guards against a connection that is served but not counted."""
        conn, transport = CallerConn(self.server), mock.create_autospec(asyncio.Transport)()
        self.server.budget.close(conn._holding)
        conn.connection_made(transport)
        transport.abort.assert_called_once_with()

    def test_answers_close_connections_while_the_server_is_closing(self):
        """Guards against callers that stay connected to a node that is stopping or isolated."""
        self.server.closing = True
        self.conn.data_received(GET)
        self.conn.send(200, [], b"one")
        self.assertIn(b"Connection: close", self.transport.written)
        self.assertTrue(self.transport.closed)
