"""Tests of connections to upstreams, on bytes."""

import unittest

import h11

from ...forwarding import UpstreamConn
from ...forwarding.tests.fake_transport import FakeTransport
from ..request_codec import decode_answer

OK = b"HTTP/1.1 200 OK\r\n"
OWN = b"Eelgrassferry-Request-Id: r1\r\n"
OTHER = b"Eelgrassferry-Request-Id: r0\r\n"


class Listener:
    """Keeps what a connection tells of one answer."""

    def __init__(self):
        self.heads = []
        self.body = b""
        self.ended = False
        self.broken = ""

    def on_head(self, head):
        self.heads.append(head)
        return head.request_id in ("", "r1")

    def on_body(self, data):
        self.body += data

    def on_end(self):
        self.ended = True

    def on_broken(self, detail):
        self.broken = detail


class UpstreamConnTest(unittest.TestCase):
    """One request and the bytes that an upstream may send."""

    def setUp(self):
        self.idle = []
        self.conn = UpstreamConn(decode_answer, self.idle.append)
        self.transport = FakeTransport()
        # ``connection_made`` asks for an asyncio transport, which a fake is not.
        self.conn._transport = self.transport
        self.listener = Listener()
        self.ask()

    def ask(self):
        request = h11.Request(method="GET", target="/x", headers=[("Host", "h")])
        self.conn.send(request, b"", self.listener)

    def test_complete_answer_leaves_the_connection_for_the_next(self):
        """Guards against a new connection for every request."""
        self.conn.data_received(OK + OWN + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual((self.listener.body, self.listener.ended), (b"hi", True))
        self.assertEqual(self.idle, [self.conn])

    def test_answer_of_another_request_is_dropped(self):
        """Guards against MIXED: a late answer at the place of the next one."""
        late = OK + OTHER + b"Content-Length: 3\r\n\r\nold"
        own = OK + OWN + b"Content-Length: 3\r\n\r\nnew"
        for cut in range(1, len(late + own)):
            with self.subTest(cut=cut):
                self.setUp()
                self.conn.data_received((late + own)[:cut])
                self.conn.data_received((late + own)[cut:])
                self.assertEqual((self.listener.body, self.listener.ended), (b"new", True))

    def test_second_copy_of_an_answer_closes_the_connection(self):
        """Guards against MIXED: extra bytes that the next request would take for its answer."""
        answer = OK + OWN + b"Content-Length: 2\r\n\r\nhi"
        self.conn.data_received(answer + answer)
        self.assertTrue(self.transport.closed)
        self.assertEqual(self.idle, [])

    def test_bytes_on_an_idle_connection_close_it(self):
        """Guards against MIXED: bytes that belong to no request."""
        self.conn.data_received(OK + OWN + b"Content-Length: 0\r\n\r\n")
        self.conn.data_received(b"HTTP/1.1 200 OK\r\n")
        self.assertTrue(self.transport.aborted)

    def test_answer_without_length_ends_with_the_connection(self):
        """Guards against losing an answer that has no length."""
        self.conn.data_received(OK + OWN + b"\r\nhalf")
        self.assertFalse(self.listener.ended)
        self.conn.eof_received()
        self.assertEqual((self.listener.body, self.listener.ended), (b"half", True))
        self.assertEqual(self.idle, [])

    def test_answer_without_length_that_is_reset_is_not_complete(self):
        """Guards against MIXED: a reset that looks like the end."""
        self.conn.data_received(OK + OWN + b"\r\nhalf")
        self.conn.connection_lost(ConnectionResetError())
        self.assertFalse(self.listener.ended)
        self.assertIn("lost", self.listener.broken)

    def test_short_answer_is_not_complete(self):
        """Guards against MIXED: a body that was cut off."""
        self.conn.data_received(OK + OWN + b"Content-Length: 9\r\n\r\nhalf")
        self.conn.eof_received()
        self.assertFalse(self.listener.ended)
        self.assertTrue(self.listener.broken)

    def test_bytes_that_are_no_answer(self):
        """Guards against a crash on garbled bytes."""
        self.conn.data_received(b"\x00\x01garbage\r\n\r\n")
        self.assertTrue(self.listener.broken)
        self.assertTrue(self.transport.aborted)

    def test_early_answer_ends_the_connection(self):
        """Guards against UNASKED: another request in place of the rest of a long body."""
        self.transport.unsent = 1000
        self.conn.data_received(OK + OWN + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(self.listener.ended)
        self.assertEqual(self.idle, [])
        self.assertTrue(self.transport.closed)

    def test_close_header_ends_the_connection(self):
        """Guards against a request on a connection that the upstream closes."""
        self.conn.data_received(OK + OWN + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.idle, [])
