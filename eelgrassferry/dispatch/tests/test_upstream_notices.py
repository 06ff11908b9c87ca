"""Tests of what upstreams say of themselves, as known to all nodes."""

import unittest

from ...fleet import NO_NOTICE, UpstreamNotice
from .. import ProcessNotice, UpstreamNotices

LEAVING = UpstreamNotice(leaving=True)


class LeavingTest(unittest.TestCase):
    """Upstreams that say in their answers that they leave."""

    def setUp(self):
        self.notices = UpstreamNotices()

    def test_process_that_leaves_does_not_cease_to(self):
        """Guards against requests to a leaving upstream because of an answer that was written
        before it began to leave and arrives later.
        """
        self.notices.record("u1/5", LEAVING, 2.0)
        self.notices.record("u1/5", NO_NOTICE, 2.1)
        self.assertEqual(self.notices.leaving, ["u1/5"])

    def test_next_process_is_not_leaving(self):
        """Guards against an upstream that gets no requests after its restart."""
        self.notices.record("u1/5", LEAVING, 2.0)
        self.notices.record("u1/9", NO_NOTICE, 7.0)
        self.assertEqual(self.notices.leaving, ["u1/5"])
        self.notices.forget("u1")
        self.assertEqual(self.notices.leaving, [])
        self.assertFalse(self.notices.has_updates)


class ExchangeTest(unittest.TestCase):
    """Notices that nodes exchange by way of the coordinator."""

    def setUp(self):
        self.leader, self.node, self.other = (UpstreamNotices() for _ in range(3))

    def send_status(self, node):
        """Send a node's updates to the coordinator, and its view to all others."""
        self.leader.merge(node.pop_updates())
        updates = self.leader.pop_updates()
        for receiver in (self.node, self.other):
            receiver.merge(updates, share=False)

    def test_notice_reaches_all_nodes_once(self):
        """Guards against a node that learns from its own answers only, and against notices that
        are sent for ever.
        """
        self.node.record("u1/5", LEAVING, 2.0)
        self.send_status(self.node)
        self.assertEqual(self.other.leaving, ["u1/5"])
        self.node.record("u1/5", LEAVING, 2.5)
        self.assertFalse(any(n.has_updates for n in (self.leader, self.node, self.other)))

    def test_answers_without_a_notice_are_not_sent(self):
        """Guards against statuses that grow with the number of answers."""
        self.node.record("u1/5", NO_NOTICE, 2.0)
        self.assertFalse(self.node.has_updates)

    def test_successor_receives_all(self):
        """Guards against a new coordinator that lacks what its predecessor was told."""
        self.node.record("u1/5", LEAVING, 2.0)
        self.node.pop_updates()
        self.node.share_all()
        self.send_status(self.node)
        self.assertEqual(self.other.all(), (ProcessNotice("u1/5", 2.0, leaving=True),))
