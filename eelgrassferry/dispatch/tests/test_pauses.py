"""Tests of upstreams that ask for no requests for some time."""

import unittest

from ...fleet import RequestKind, UpstreamNotice
from .. import AttemptFailure, Refuse, RefuseReason, Send, UpstreamNotices
from .fixtures import DispatcherFixture

PLAIN = RequestKind.NON_IDEMPOTENT


class PausedUntilTest(unittest.TestCase):
    """The time until which a process gets no requests."""

    def setUp(self):
        self.notices = UpstreamNotices()

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against a violation of BUDGET: requests within a pause, after a second answer."""
        self.notices.record("u1/5", UpstreamNotice(pause_s=3.0), 1.0)
        self.notices.record("u1/5", UpstreamNotice(pause_s=0.5), 2.0)
        self.notices.record("u1/5", UpstreamNotice(), 2.5)
        self.assertEqual(self.notices.paused_until("u1/5"), 4.0)

    def test_pauses_that_are_over_are_removed(self):
        """Guards against checks of each upstream for ever, and against a pause that ends early."""
        self.notices.record("u1/5", UpstreamNotice(pause_s=3.0), 1.0)
        self.notices.expire({"u1/5"}, 3.9)
        self.assertEqual(self.notices.paused_until("u1/5"), 4.0)
        self.notices.expire({"u1/5"}, 4.1)
        self.assertFalse(self.notices.has_restrictions)

    def test_pause_is_not_shared(self):
        """Guards against nodes that pause although an upstream has asked another node."""
        self.notices.record("u1/5", UpstreamNotice(pause_s=3.0), 1.0)
        self.assertFalse(self.notices.has_updates)

    def test_restarted_process_does_not_pause(self):
        """Guards against a restarted upstream that gets no requests because of its predecessor."""
        self.notices.record("u1/5", UpstreamNotice(pause_s=3.0), 1.0)
        self.assertLess(self.notices.paused_until("u1/9"), 0.0)


class PauseTest(unittest.TestCase):
    """A node with three plain upstreams and three engines with one model."""

    def setUp(self):
        # The node is in a domain without upstreams, so that none of them is preferred.
        self.fixture = DispatcherFixture(domain="z")
        self.dispatcher = self.fixture.dispatcher

    def pause(self, name: str, pause_s: float, now: float = 0.0) -> None:
        """Receive an upstream's request for a pause."""
        process_id = self.fixture.entries[name].process_id
        self.dispatcher.notices.record(process_id, UpstreamNotice(pause_s=pause_s), now)

    def test_other_upstreams_serve_during_a_pause(self):
        """Guards against a violation of BUDGET: requests reach an upstream during its pause."""
        self.pause("d0", 2.0)
        for kind, names in ((PLAIN, {"d1", "d2"}), (RequestKind.STREAM, {"e0", "e1", "e2"})):
            jobs = [self.fixture.make_job(kind, 1.0, tokens=10) for _ in range(9)]
            self.assertEqual({self.fixture.send(job, 1.0) for job in jobs}, names)
        self.assertIn("d0", {self.fixture.send(self.fixture.make_job(PLAIN, 2.1), 2.1)})

    def test_declined_request_is_not_sent_to_a_paused_upstream_again(self):
        """Guards against retries of one request, after all upstreams have declined it once."""
        job = self.fixture.make_job(PLAIN, resumable=False)
        self.dispatcher.submit(job, 0.0)
        for name in ("d0", "d1", "d2"):
            self.pause(name, 9.0)
        actions = self.dispatcher.fail(job, AttemptFailure.NOT_RUN, 0.0)
        self.assertFalse(any(isinstance(action, Send) for action in actions))

    def test_request_waits_for_the_end_of_a_short_pause(self):
        """Guards against a refusal although the caller can be served."""
        for name in ("d0", "d1", "d2"):
            self.pause(name, 0.5)
        job = self.fixture.make_job(PLAIN)
        self.assertEqual(self.dispatcher.submit(job, 0.0), [])
        self.assertEqual(self.dispatcher.dispatch_waiting(0.4), [])
        (action,) = self.dispatcher.dispatch_waiting(0.51)
        self.assertIsInstance(action, Send)

    def test_request_is_refused_at_once_if_all_pauses_are_too_long(self):
        """Guards against callers that wait until their deadline for upstreams which accept nothing
        before it, and against a Retry-After before the end of the first pause.
        """
        for kind, names in ((PLAIN, "d0 d1 d2"), (RequestKind.STREAM, "e0 e1 e2")):
            for name, pause_s in zip(names.split(), (9.0, 6.0, 7.0), strict=True):
                self.pause(name, pause_s)
            (action,) = self.dispatcher.submit(self.fixture.make_job(kind), 0.0)
            self.assertIsInstance(action, Refuse)
            self.assertIs(action.reason, RefuseReason.UPSTREAM_LIMIT)
            self.assertGreaterEqual(action.retry_after_s, 6.0)
            self.assertLess(action.retry_after_s, 6.5)
