"""Tests of upstream connections, fed with raw bytes."""

import asyncio
import unittest

import h11

from ...eventloop.work import EVENTS_PER_STEP
from ...forwarding import UpstreamConn
from ...forwarding.tests.fake_transport import FakeTransport
from ...forwarding.upstream_conn import MAX_REQUESTS
from ...http import SENT_CHECK_INTERVAL_S
from ..request_codec import decode_answer

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
OWN_ID = b"Eelgrassferry-Request-Id: r1\r\n"
NEXT_ID = b"Eelgrassferry-Request-Id: r2\r\n"
OTHER_ID = b"Eelgrassferry-Request-Id: r0\r\n"


class RecordingListener:
    """Listener that records the callbacks of a connection for the answer to one request.

    It rejects an answer that carries the id of another request.
    """

    def __init__(self, request_id="r1"):
        self.request_id = request_id
        self.heads = []
        self.body = b""
        self.parts = 0
        self.ended = False
        self.broken = ""

    def on_head(self, head):
        self.heads.append(head)
        return head.request_id in ("", self.request_id)

    def on_body(self, data):
        self.body += data
        self.parts += 1

    def on_end(self):
        self.ended = True

    def on_broken(self, detail):
        self.broken = detail


class UpstreamConnCase(unittest.TestCase):
    """A connection on which one request was sent."""

    def setUp(self):
        self.idle = []
        self.conn = UpstreamConn(decode_answer, self.idle.append)
        self.transport = FakeTransport()
        # ``connection_made`` requires an asyncio transport, which the fake is not.
        self.conn._transport = self.transport
        self.listener = RecordingListener()
        self.send_request()

    def send_request(self):
        request = h11.Request(method="GET", target="/x", headers=[("Host", "h")])
        self.conn.send(request, b"", self.listener, self.listener.request_id)


class UpstreamConnTest(UpstreamConnCase):
    """Handling of the bytes that an upstream may send after one request."""

    def test_connection_is_reused_after_a_complete_answer(self):
        """Guards against opening a new connection for every request."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual((self.listener.body, self.listener.ended), (b"hi", True))
        self.assertEqual(self.idle, [self.conn])

    def test_connection_is_read_again_after_a_slow_caller(self):
        """Guards against a request that waits until its deadline on a connection which the slow
        caller of the answer before has paused.
        """
        self.conn.pause_reading()
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual(self.idle, [self.conn])
        self.listener = RecordingListener("r2")
        self.send_request()
        self.assertFalse(self.transport.is_paused)

    def test_answer_of_another_request_is_dropped(self):
        """Guards against a late answer to an earlier request being taken for the answer to this
        one, wherever the byte stream is split.
        """
        late_answer = STATUS_LINE + OTHER_ID + b"Content-Length: 3\r\n\r\nold"
        own_answer = STATUS_LINE + OWN_ID + b"Content-Length: 3\r\n\r\nnew"
        for cut in range(1, len(late_answer + own_answer)):
            with self.subTest(cut=cut):
                self.setUp()
                self.conn.data_received((late_answer + own_answer)[:cut])
                self.conn.data_received((late_answer + own_answer)[cut:])
                self.assertEqual((self.listener.body, self.listener.ended), (b"new", True))

    def test_second_copy_of_an_answer_closes_the_connection(self):
        """Guards against extra bytes that the next request would take for its answer."""
        answer = STATUS_LINE + OWN_ID + b"Content-Length: 2\r\n\r\nhi"
        self.conn.data_received(answer + answer)
        self.assertTrue(self.transport.closed)
        self.assertEqual(self.idle, [])

    def test_bytes_on_an_idle_connection_close_it(self):
        """Guards against bytes that belong to no request and would be read by the next one."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 0\r\n\r\n")
        self.conn.data_received(b"HTTP/1.1 200 OK\r\n")
        self.assertTrue(self.transport.aborted)

    def test_answer_without_length_ends_with_the_connection(self):
        """Guards against losing an answer without a length, which ends with its connection."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"\r\nhalf")
        self.assertFalse(self.listener.ended)
        self.conn.eof_received()
        self.assertEqual((self.listener.body, self.listener.ended), (b"half", True))
        self.assertEqual(self.idle, [])

    def test_answer_without_length_that_is_reset_is_not_complete(self):
        """Guards against taking a connection reset for the end of an answer without a length."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"\r\nhalf")
        self.conn.connection_lost(ConnectionResetError())
        self.assertFalse(self.listener.ended)
        self.assertIn("lost", self.listener.broken)

    def test_short_answer_is_not_complete(self):
        """Guards against passing on a truncated body as complete."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 9\r\n\r\nhalf")
        self.conn.eof_received()
        self.assertFalse(self.listener.ended)
        self.assertTrue(self.listener.broken)

    def test_malformed_answer(self):
        """Guards against an exception on bytes that are not HTTP."""
        self.conn.data_received(b"\x00\x01garbage\r\n\r\n")
        self.assertTrue(self.listener.broken)
        self.assertTrue(self.transport.aborted)

    def test_early_answer_ends_the_connection(self):
        """Guards against reusing a connection while part of a long request body is unsent: the
        upstream would read the next request as the rest of that body.
        """
        self.transport.unsent = 1000
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(self.listener.ended)
        self.assertEqual(self.idle, [])
        self.assertTrue(self.transport.closed)

    def test_close_header_ends_the_connection(self):
        """Guards against sending the next request on a connection that the upstream closes."""
        self.conn.data_received(
            STATUS_LINE + OWN_ID + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.idle, [])


class SecondCopyTest(UpstreamConnCase):
    """A server sends an answer twice on a connection that is in use again."""

    def setUp(self):
        super().setUp()
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual(self.idle, [self.conn])
        self.listener = RecordingListener("r2")

    def test_copy_before_the_next_request_closes_the_connection(self):
        """Guards against a copy that waits in the buffers for the next request."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Content-Length: 2\r\n\r\nhi")
        self.assertFalse(self.conn.is_open)

    def test_copy_without_an_id_is_not_the_next_answer(self):
        """Guards against a caller that gets the answer to another request, with the same status."""
        self.send_request()
        self.conn.data_received(STATUS_LINE + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual((self.listener.heads, self.listener.ended), ([], False))
        self.assertIn("without a request id", self.listener.broken)

    def test_copy_split_across_reads_is_skipped(self):
        """Guards against a copy whose head and body arrive in several reads."""
        self.send_request()
        copy = STATUS_LINE + OWN_ID + b"Content-Length: 2\r\n\r\nno"
        own = STATUS_LINE + NEXT_ID + b"Content-Length: 3\r\n\r\nyes"
        for position in range(len(copy) + len(own)):
            self.conn.data_received((copy + own)[position : position + 1])
        self.assertEqual((self.listener.body, self.listener.ended), (b"yes", True))

    def test_further_attempt_of_the_request_is_not_sent(self):
        """Guards against a copy that is taken for the answer to a further attempt of the request,
        whose id both answers carry (review case 3).
        """
        self.assertTrue(self.conn.has_carried("r1"))
        self.assertFalse(self.conn.has_carried("r2"))
        self.listener = RecordingListener("r1")
        with self.assertRaises(AssertionError):
            self.send_request()

    def test_ids_are_bounded(self):
        """Guards against a connection that remembers requests without end."""
        for number in range(2 * MAX_REQUESTS):
            self.listener = RecordingListener(f"n{number}")
            self.idle.clear()
            self.send_request()
            own_id = f"Eelgrassferry-Request-Id: n{number}\r\n".encode()
            self.conn.data_received(STATUS_LINE + own_id + b"Content-Length: 2\r\n\r\nhi")
            if not self.idle:
                break
        self.assertEqual(number + 2, MAX_REQUESTS)
        self.assertFalse(self.conn.is_open)


class EndlessBytesTest(UpstreamConnCase):
    """Bytes without end where the answer to the request in progress is due."""

    def test_head_without_end_fails(self):
        """Guards against a head that grows in memory until the caller leaves."""
        self.conn.data_received(STATUS_LINE)
        for number in range(3000):
            self.conn.data_received(b"x-%d: %s\r\n" % (number, b"y" * 100))
        self.assertIn("invalid HTTP answer", self.listener.broken)

    def test_header_line_without_end_fails(self):
        """Guards against a header line that never ends."""
        self.conn.data_received(STATUS_LINE + b"x-a: ")
        for _ in range(100):
            self.conn.data_received(b"y" * 1000)
        self.assertIn("invalid HTTP answer", self.listener.broken)

    def test_chunk_size_without_end_fails(self):
        """Guards against a chunk header that never ends."""
        self.conn.data_received(STATUS_LINE + OWN_ID + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(100):
            self.conn.data_received(b"0" * 1000)
        self.assertTrue(self.listener.broken)
        self.assertFalse(self.listener.ended)

    def test_late_answer_without_end_fails(self):
        """Guards against a late answer to an earlier request behind which the own one never
        comes.
        """
        self.conn.data_received(STATUS_LINE + OTHER_ID + b"Content-Length: 900000000\r\n\r\n")
        for _ in range(20):
            self.conn.data_received(b"z" * 65_536)
        self.assertIn("does not end", self.listener.broken)
        self.assertEqual(self.listener.body, b"")

    def test_informational_responses_without_end_fail(self):
        """Guards against interim responses that keep a request busy until its deadline."""
        for _ in range(50):
            self.conn.data_received(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        self.assertIn("informational", self.listener.broken)


class TinyChunksTest(unittest.IsolatedAsyncioTestCase):
    """One read from an upstream contains very many small chunks."""

    CHUNKS = 5000

    async def asyncSetUp(self):
        UpstreamConnCase.setUp(self)

    def send_request(self):
        UpstreamConnCase.send_request(self)

    async def receive(self, end: bytes = b"") -> None:
        """Receive the answer and wait until it has been parsed."""
        head = STATUS_LINE + OWN_ID + b"Transfer-Encoding: chunked\r\n\r\n"
        self.conn.data_received(head + b"1\r\nx\r\n" * self.CHUNKS + end)
        self.read_at_once = len(self.listener.body)
        self.assertTrue(self.transport.is_paused)
        while self.conn._work.is_pending:
            await asyncio.sleep(0)

    async def test_other_connections_are_not_held_up(self):
        """Guards against a process that parses all chunks of a read before anything else, and
        passes each on alone (review case 6).
        """
        await self.receive(b"0\r\n\r\n")
        self.assertLessEqual(self.read_at_once, EVENTS_PER_STEP)
        self.assertLessEqual(self.listener.parts, self.CHUNKS // EVENTS_PER_STEP + 2)
        self.assertEqual((self.listener.body, self.listener.ended), (b"x" * self.CHUNKS, True))
        self.assertEqual(self.idle, [self.conn])
        self.assertFalse(self.transport.is_paused)

    async def test_end_while_chunks_wait_is_handled_after_them(self):
        """Guards against losing the end of an answer whose connection is lost meanwhile, and
        against taking a part of an answer for a whole one.
        """
        for end in (b"0\r\n\r\n", b""):
            with self.subTest(end=end):
                UpstreamConnCase.setUp(self)
                asyncio.get_running_loop().call_soon(self.conn.connection_lost, ConnectionError())
                await self.receive(end)
                self.assertEqual(self.listener.body, b"x" * self.CHUNKS)
                self.assertEqual(self.listener.ended, bool(end))
                self.assertEqual("lost" in self.listener.broken, not end)

    async def test_caller_that_leaves_ends_the_work(self):
        """Guards against work on an answer that nobody waits for."""
        self.conn.data_received(
            STATUS_LINE + OWN_ID + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5000
        )
        self.conn.abort()
        received = len(self.listener.body)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual((len(self.listener.body), self.listener.broken), (received, ""))


class EarlyEndTest(unittest.IsolatedAsyncioTestCase):
    """An answer without a length ends while a part of the request is unsent."""

    async def asyncSetUp(self):
        UpstreamConnCase.setUp(self)
        self.transport.unsent = 1000
        self.conn.data_received(STATUS_LINE + OWN_ID + b"\r\npart")
        self.assertTrue(self.conn.eof_received())
        self.assertFalse(self.listener.ended)

    def send_request(self):
        UpstreamConnCase.send_request(self)

    async def test_reset_breaks_the_answer(self):
        """Guards against a violation of MIXED: a part of an answer taken for a whole one."""
        self.conn.connection_lost(ConnectionResetError())
        await asyncio.sleep(2 * SENT_CHECK_INTERVAL_S)
        self.assertIn("lost", self.listener.broken)
        self.assertFalse(self.listener.ended)

    async def test_answer_is_whole_once_the_request_is_taken(self):
        """Guards against refusing an answer whose server reads the request later."""
        self.transport.unsent = 0
        async with asyncio.timeout(5.0):
            while not self.listener.ended:
                await asyncio.sleep(SENT_CHECK_INTERVAL_S)
        self.assertEqual(self.listener.body, b"part")
        self.assertTrue(self.transport.closed)

    async def test_request_that_is_not_taken_breaks_the_answer(self):
        """Guards against a caller that waits until its deadline for a server that has gone."""
        async with asyncio.timeout(5.0):
            while not self.listener.broken:
                await asyncio.sleep(SENT_CHECK_INTERVAL_S)
        self.assertIn("does not take", self.listener.broken)
        self.assertFalse(self.listener.ended)
