"""Tests of what upstreams say of themselves in the bytes of their answers."""

from ...fleet import UpstreamNotice
from .test_upstream_conn import OWN_ID, UpstreamConnCase


class NoticeHeadersCase(UpstreamConnCase):
    """A connection on which an upstream answers with further header lines."""

    def read_notice(self, *lines: bytes, status: bytes = b"200 OK") -> UpstreamNotice:
        """Receive an answer in two parts, at each place, and return its notice."""
        head = b"HTTP/1.1 " + status + b"\r\n" + OWN_ID
        answer = head + b"".join(line + b"\r\n" for line in lines) + b"Content-Length: 0\r\n\r\n"
        notices = set()
        for cut in range(1, len(answer)):
            self.setUp()
            self.conn.data_received(answer[:cut])
            self.conn.data_received(answer[cut:])
            self.assertTrue(self.listener.ended)
            notices.update(head.notice for head in self.listener.heads)
        (notice,) = notices
        return notice


class LeavingHeaderTest(NoticeHeadersCase):
    """The header ``Server-Leaving``."""

    def test_header_is_read(self):
        """Guards against a violation of DRAIN: requests to a server that says only in its answers
        that it leaves.
        """
        for line in (b"Server-Leaving: 1", b"server-leaving:1", b"SERVER-LEAVING:  1 "):
            with self.subTest(line=line):
                self.assertTrue(self.read_notice(line).leaving)

    def test_header_is_read_whatever_the_status(self):
        """Guards against reading it in successes only."""
        for status in (b"500 Error", b"503 Unavailable", b"421 Misdirected"):
            self.assertTrue(self.read_notice(b"Server-Leaving: 1", status=status).leaving)

    def test_other_values_are_ignored(self):
        """Guards against giving up a server because of a value that nobody has defined."""
        for line in (b"Server-Leaving: 0", b"Server-Leaving:", b"Server-Leaving: no", b"X: 1"):
            with self.subTest(line=line):
                self.assertFalse(self.read_notice(line).leaving)


class RetryAfterHeaderTest(NoticeHeadersCase):
    """The header ``Retry-After`` of an upstream that turns a request away."""

    def test_header_is_read(self):
        """Guards against a violation of BUDGET: requests to a server that has asked for none."""
        for value, pause_s in ((b"2", 2.0), (b"0.75", 0.75), (b" 1.5 ", 1.5)):
            with self.subTest(value=value):
                line = b"Retry-After: " + value
                notice = self.read_notice(line, status=b"503 Unavailable")
                self.assertEqual(notice.pause_s, pause_s)

    def test_other_statuses_ask_for_no_pause(self):
        """Guards against giving up a server for the Retry-After of an answer that it has run."""
        for status in (b"200 OK", b"500 Error", b"301 Moved"):
            self.assertEqual(self.read_notice(b"Retry-After: 2", status=status).pause_s, 0.0)

    def test_malformed_values_are_ignored(self):
        """Guards against an exception, and against a pause without end."""
        values = (b"", b"soon", b"-1", b"nan", b"inf", b"1e999", b"Fri, 04 Dec 2026 20:00:00 GMT")
        for value in values:
            with self.subTest(value=value):
                line = b"Retry-After: " + value
                notice = self.read_notice(line, status=b"503 Unavailable")
                self.assertEqual(notice.pause_s, 0.0)


class LimitHeaderTest(NoticeHeadersCase):
    """The header ``Server-Limit``."""

    def test_header_is_read(self):
        """Guards against a violation of LIMIT: more requests than a server says that it takes."""
        for value, limit_per_s in ((b"2.5", 2.5), (b"7", 7.0), (b" 0.4 ", 0.4), (b"0", 0.0)):
            with self.subTest(value=value):
                notice = self.read_notice(b"Server-Limit: " + value)
                self.assertEqual(notice.limit_per_s, limit_per_s)

    def test_answer_without_the_header_names_no_limit(self):
        """Guards against a limit that is kept after its end."""
        self.assertIsNone(self.read_notice().limit_per_s)

    def test_malformed_values_are_ignored(self):
        """Guards against an exception, and against giving up a server for a typing error."""
        for value in (b"", b"few", b"-2", b"nan", b"inf", b"2,5"):
            with self.subTest(value=value):
                self.assertIsNone(self.read_notice(b"Server-Limit: " + value).limit_per_s)
