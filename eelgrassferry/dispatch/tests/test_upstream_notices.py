"""Tests of what upstreams say of themselves, as known to all nodes."""

import unittest

from ...fleet import NO_NOTICE, UpstreamNotice
from .. import ProcessNotice, UpstreamNotices

LEAVING = UpstreamNotice(leaving=True)


class LeavingTest(unittest.TestCase):
    """Upstreams that say in their answers that they leave."""

    def setUp(self):
        self.notices = UpstreamNotices()
        self.leaving = []
        self.notices.on_leaving = self.leaving.append

    def test_process_that_leaves_does_not_cease_to(self):
        """Guards against requests to a leaving upstream because of an answer that was written
        before it began to leave and arrives later.
        """
        self.notices.record("u1/5", LEAVING, 2.0)
        self.notices.record("u1/5", NO_NOTICE, 2.1)
        self.assertEqual(self.leaving, ["u1/5"])
        self.assertTrue(self.notices.all()[0].leaving)

    def test_next_process_is_not_leaving(self):
        """Guards against an upstream that gets no requests after its restart."""
        self.notices.record("u1/5", LEAVING, 2.0)
        self.notices.record("u1/9", NO_NOTICE, 7.0)
        self.assertEqual(self.leaving, ["u1/5"])

    def test_notice_is_kept_while_a_registration_lapses(self):
        """Guards against requests to a leaving upstream whose registration has lapsed in an outage
        and comes back.
        """
        self.notices.record("u1/5", LEAVING, 2.0)
        self.notices.expire(set(), 30.0)
        self.assertTrue(self.notices.all()[0].leaving)

    def test_notices_of_ended_processes_are_removed(self):
        """Guards against memory and complete views that grow with each restart of an upstream."""
        self.notices.record("u1/5", LEAVING, 2.0)
        self.notices.record("u2/7", NO_NOTICE, 2.0)
        self.notices.expire({"u2/7"}, 99.0)
        self.assertEqual([notice.process_id for notice in self.notices.all()], ["u2/7"])
        self.assertFalse(self.notices.has_updates)


class ExchangeTest(unittest.TestCase):
    """Notices that nodes exchange by way of the coordinator."""

    def setUp(self):
        self.leader, self.node, self.other = (UpstreamNotices() for _ in range(3))
        self.told = []
        self.other.on_leaving = self.told.append

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
        self.assertEqual(self.told, ["u1/5"])
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


class LimitTest(unittest.TestCase):
    """Limits that a process names in some of its answers."""

    def setUp(self):
        self.first, self.second = UpstreamNotices(), UpstreamNotices()

    def test_latest_answer_counts(self):
        """Guards against a limit that outlives its end, and one that an older answer ends."""
        self.first.record("u1/5", UpstreamNotice(limit_per_s=2.5), 2.0)
        self.second.record("u1/5", UpstreamNotice(limit_per_s=2.5), 1.0)
        self.second.record("u1/5", NO_NOTICE, 3.0)
        self.first.merge(self.second.pop_updates())
        self.assertIsNone(self.first.limit_per_s("u1/5"))
        self.first.merge((ProcessNotice("u1/5", 2.5, limit_per_s=9.0),))
        self.assertIsNone(self.first.limit_per_s("u1/5"))

    def test_node_with_an_older_answer_is_corrected(self):
        """Guards against a limit that ends for all nodes but the one that saw it named last."""
        self.first.record("u1/5", UpstreamNotice(limit_per_s=2.5), 4.0)
        self.first.pop_updates()
        self.first.merge((ProcessNotice("u1/5", 3.0),))
        (update,) = self.first.pop_updates()
        self.assertEqual((update.limit_per_s, update.seen_at), (2.5, 4.0))

    def test_least_rate(self):
        """Guards against an upstream that gets no request and so can never end its limit."""
        self.first.record("u1/5", UpstreamNotice(limit_per_s=0.0), 2.0)
        self.assertGreater(self.first.limit_per_s("u1/5"), 0.0)
