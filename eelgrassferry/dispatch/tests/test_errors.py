"""Tests of errors that are raised while one request is handled."""

import unittest
from unittest.mock import patch

from ...fleet import RequestKind
from .. import Abandon, Send
from .fixtures import DispatcherFixture


class WaitingRequestsTest(unittest.TestCase):
    """Several requests that wait, one of which cannot be handled."""

    def setUp(self):
        self.fixture = DispatcherFixture()
        self.dispatcher = self.fixture.dispatcher
        for instance in ("d0", "d1", "d2"):
            self.dispatcher.selector.backoffs.record_crash(instance, 0.0)
        self.jobs = [self.fixture.make_job(RequestKind.IDEMPOTENT) for _ in range(3)]
        for job in self.jobs:
            self.assertEqual(self.dispatcher.submit(job, 0.0), [])
        choose, self.faulty = self.dispatcher.selector.choose, self.jobs[1]

        def choose_or_raise(job, now):
            if job is self.faulty:
                raise ZeroDivisionError("slots")
            return choose(job, now)

        patcher = patch.object(self.dispatcher.selector, "choose", choose_or_raise)
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_the_other_requests_are_sent(self):
        """Guards against one request that keeps all waiting ones from being sent or answered."""
        actions = self.dispatcher.dispatch_waiting(3.0)
        self.assertEqual([type(action) for action in actions], [Send, Abandon, Send])
        self.assertIs(actions[1].job, self.faulty)
        self.assertTrue(self.faulty.closed)
        self.assertEqual(self.dispatcher.waiting, 0)

    def test_requests_that_go_on_waiting_keep_their_order(self):
        """Guards against a lost or reordered queue after an error."""
        (action,) = self.dispatcher.dispatch_waiting(0.01)
        self.assertIsInstance(action, Abandon)
        self.assertEqual(self.dispatcher._waiting, [self.jobs[0], self.jobs[2]])

    def test_a_stopping_node_answers_the_other_requests(self):
        """Guards against requests without an answer when a node stops."""
        with patch.object(self.dispatcher._waits, "advise", side_effect=KeyError("u1")):
            actions = self.dispatcher.stop(0.1)
        self.assertEqual([type(action) for action in actions], [Abandon] * 3)
        self.assertEqual([job.closed for job in self.jobs], [True] * 3)
