"""Tests of requests to upstreams that limit their rate."""

import unittest

from ...fleet import RequestKind, UpstreamNotice
from .. import Refuse, RefuseReason, Send, TurnBook
from .fixtures import DispatcherFixture

PLAIN = RequestKind.NON_IDEMPOTENT


class LimitTest(unittest.TestCase):
    """A node with three plain upstreams and three engines, linked to a coordinator."""

    LIMIT_PER_S = 2.0

    def setUp(self):
        self.fixture = DispatcherFixture()
        self.dispatcher = self.fixture.dispatcher
        self.book = TurnBook()

    def name_limits(self, *names: str) -> None:
        for name in names:
            process_id = self.fixture.entries[name].process_id
            notice = UpstreamNotice(limit_per_s=self.LIMIT_PER_S)
            self.dispatcher.notices.record(process_id, notice, 0.0)

    def exchange_turns(self, now: float) -> list:
        """Ask the coordinator for turns, and return the actions that follow its replies."""
        turns = self.dispatcher.turns
        requests = turns.pop_requests(now, has_coordinator=True)
        turns.apply([self.book.book(request, self.LIMIT_PER_S, now) for request in requests])
        return self.dispatcher.dispatch_waiting(now)

    def submit(self, kind: RequestKind, now: float) -> list:
        """Submit a request and return all actions up to the coordinator's replies."""
        job = self.fixture.make_job(kind, now, tokens=100)
        return [*self.dispatcher.submit(job, now), *self.exchange_turns(now)]

    def test_requests_go_to_upstreams_without_a_limit(self):
        """Guards against a violation of LIMIT, and against requests that wait for a turn although
        another upstream is free.
        """
        self.name_limits("d0", "d1")
        actions = [self.submit(PLAIN, 0.0) for _ in range(9)]
        self.assertTrue(all(len(found) == 1 for found in actions))
        counts = {name: 0 for name in ("d0", "d1", "d2")}
        for (action,) in actions:
            self.assertIsInstance(action, Send)
            counts[action.instance] += 1
        self.assertLessEqual(max(counts["d0"], counts["d1"]), 1)

    def test_requests_beyond_all_limits_are_refused_at_once(self):
        """Guards against a violation of LIMIT, and against callers that wait in vain or return
        before an upstream takes a request.
        """
        for kind, names in ((PLAIN, "d0 d1 d2"), (RequestKind.STREAM, "e0 e1 e2")):
            with self.subTest(kind=kind):
                self.name_limits(*names.split())
                actions = [action for _ in range(12) for action in self.submit(kind, 0.0)]
                sent = [action for action in actions if isinstance(action, Send)]
                self.assertEqual(len(sent), 3)
                refused = [action for action in actions if isinstance(action, Refuse)]
                self.assertTrue(refused)
                for action in refused:
                    self.assertIs(action.reason, RefuseReason.UPSTREAM_LIMIT)
                    self.assertGreaterEqual(action.retry_after_s, 0.5 / self.LIMIT_PER_S)
                    self.assertLess(action.retry_after_s, 1.5)

    def test_request_waits_for_a_turn_within_its_target(self):
        """Guards against a refusal although the answer would be in time."""
        self.name_limits("d0", "d1", "d2")
        for _ in range(3):
            self.submit(PLAIN, 0.0)
        self.assertEqual(self.submit(PLAIN, 0.2), [])
        (action,) = self.dispatcher.dispatch_waiting(0.51)
        self.assertIsInstance(action, Send)

    def test_urgent_request_gets_the_next_turn(self):
        """Guards against a patient request that takes the turn of an urgent one."""
        self.name_limits("d0", "d1", "d2")
        for _ in range(3):
            self.submit(PLAIN, 0.0)
        patient, urgent = (
            self.fixture.make_job(PLAIN, 0.2, priority=priority) for priority in (2, 0)
        )
        self.dispatcher.submit(patient, 0.2)
        self.exchange_turns(0.2)
        self.dispatcher.submit(urgent, 0.2)
        (first, *_) = self.dispatcher.dispatch_waiting(0.51)
        self.assertIs(first.job, urgent)

    def test_requests_that_wait_for_turns_are_demand(self):
        """Guards against a model that gets no copies and adapters elsewhere because its engines,
        which limit their rate, count as able to serve it.
        """
        self.name_limits("e0", "e1", "e2")
        for _ in range(8):
            self.submit(RequestKind.STREAM, 0.0)
        self.assertIn(("chat", "m0", ""), self.dispatcher.pending_demand(0.0))
