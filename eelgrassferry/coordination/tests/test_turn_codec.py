"""Tests of the messages about turns and of notices in messages."""

import unittest

from result import Err

from ...dispatch import ProcessNotice, TurnReply, TurnRequest
from ...ordering import NodeStatus
from ..messages import (
    FleetView,
    ViewReply,
    decode_status,
    decode_view,
    encode_status,
    encode_view,
)
from ..turn_codec import (
    decode_turn_replies,
    decode_turn_requests,
    encode_turn_replies,
    encode_turn_requests,
)


class TurnsTest(unittest.TestCase):
    """Requests for turns and the replies, between nodes whose clocks differ."""

    def test_requests_are_decoded_as_they_were_encoded(self):
        """Guards against a coordinator that books other turns than a node wants."""
        requests = [TurnRequest("u1/5", 2, 0.25), TurnRequest("u2/7", 1, 0.0)]
        decoded = decode_turn_requests(encode_turn_requests(requests))
        self.assertEqual(decoded.unwrap(), requests)

    def test_times_of_replies_are_relative(self):
        """Guards against turns that never come, or all at once, on a node with another clock."""
        replies = [TurnReply("u1/5", 2, (100.0, 100.5), 101.0)]
        (decoded,) = decode_turn_replies(encode_turn_replies(replies, 100.0), 7.0).unwrap()
        self.assertEqual(decoded, TurnReply("u1/5", 2, (7.0, 7.5), 8.0))

    def test_malformed_messages_are_errors(self):
        """Guards against an exception in the event loop because of a message."""
        for body in (None, 5, [5], [["u1/5"]], [["u1/5", "x", []]], [["u1/5", 1, [None], 2.0]]):
            with self.subTest(body=body):
                self.assertIsInstance(decode_turn_requests(body), Err)
                self.assertIsInstance(decode_turn_replies(body, 0.0), Err)


class NoticesTest(unittest.TestCase):
    """Notices of upstreams in statuses and views."""

    NOTICES = (ProcessNotice("u1/5", 3.0, leaving=True), ProcessNotice("u2/7", 3.5, False, 2.5))

    def test_notices_in_a_status_are_decoded_as_they_were_encoded(self):
        """Guards against a coordinator that does not learn what a node was told."""
        status = NodeStatus("n1", notices=self.NOTICES)
        body = encode_status(status, ViewReply(0.0, False), 4.0)
        self.assertEqual(decode_status(body, 4.0).unwrap()[0].notices, self.NOTICES)

    def test_notices_in_a_view_are_decoded_as_they_were_encoded(self):
        """Guards against nodes that do not learn what another one was told."""
        view = FleetView(1, 2, 3, notices=self.NOTICES)
        self.assertEqual(decode_view(encode_view(view, 4.0), 4.0).unwrap().notices, self.NOTICES)
