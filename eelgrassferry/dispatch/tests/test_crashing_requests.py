"""Tests of requests whose content crashes upstreams, at one node."""

import unittest

from .. import AttemptFailure, Fail, FailReason, Job, Probe, Refuse, RefuseReason, Send
from .fixtures import DispatcherFixture

SHARED, DEADLY = ("shared", 100), ("deadly", 100)


class CrashingRequestsTest(unittest.TestCase):
    """Stream requests with a deadly part, at a node with three engines."""

    def setUp(self):
        # The node is in a domain without engines, so that none of them is preferred.
        self.fixture = DispatcherFixture(domain="z")
        self.dispatcher = self.fixture.dispatcher
        self.count = 0

    def make_job(self, *parts: tuple[str, int], now: float = 0.0, **route: object) -> Job:
        self.count += 1
        own_part = (f"own-{self.count}", 100)
        job = self.fixture.make_job(now=now, prompt_parts=(*parts, own_part), **route)
        job.fingerprint = f"request:{self.count}"
        return job

    def crash(self, job: Job, now: float) -> list:
        """Let the engine of a job end before its first event; return the dispatcher's actions."""
        entry = self.fixture.directory.get(job.attempt.instance)
        actions = self.dispatcher.fail(job, AttemptFailure.BROKEN, now)
        return [*actions, *self.dispatcher.record_no_listener(entry, now + 0.1)]

    def crash_twice(self) -> None:
        """Let two engines crash under requests with the deadly part."""
        for now in (1.0, 2.0):
            job = self.make_job(SHARED, DEADLY, now=now)
            self.fixture.send(job, now)
            self.crash(job, now + 0.2)

    def test_request_is_refused_at_once_without_having_run(self):
        """Guards against a request that waits although it can never be served."""
        self.crash_twice()
        job = self.make_job(SHARED, DEADLY, now=5.0)
        (action,) = self.dispatcher.submit(job, 5.0)
        self.assertEqual(action, Refuse(job, RefuseReason.CRASHED_UPSTREAMS, None))
        self.assertFalse(job.may_have_run)

    def test_sound_request_is_still_sent(self):
        """Guards against refusing requests because of a part that they share with deadly ones."""
        self.crash_twice()
        (action,) = self.dispatcher.submit(self.make_job(SHARED, now=5.0), 5.0)
        self.assertIsInstance(action, Send)

    def test_request_without_an_answer_is_ended_by_the_verdict(self):
        """Guards against a crash under a request that was sent shortly before the verdict.

        It may have run, so its caller is not told that it has not.
        """
        first, second, third = (self.make_job(DEADLY, now=1.0) for _ in range(3))
        for job in (first, second, third):
            self.fixture.send(job, 1.0)
        self.crash(first, 1.0)
        actions = self.crash(second, 2.0)
        self.assertIn(Fail(third, FailReason.CRASHED_UPSTREAMS), actions)
        self.assertTrue(third.closed)

    def test_waiting_request_is_refused_by_the_verdict(self):
        """Guards against a request that leaves the queue for an upstream after the verdict."""
        jobs = [self.make_job(DEADLY, now=1.0) for _ in range(2)]
        for job in jobs:
            self.fixture.send(job, 1.0)
        waiting = self.make_job(DEADLY, now=1.0)
        waiting.model, waiting.waiting = "m1", True
        self.dispatcher._waiting.append(waiting)
        self.crash(jobs[0], 1.0)
        actions = self.crash(jobs[1], 2.0)
        self.assertIn(Refuse(waiting, RefuseReason.CRASHED_UPSTREAMS, None), actions)

    def test_repeatable_request_is_not_repeated_after_the_verdict(self):
        """Guards against a retry that crashes one more upstream."""
        first = self.make_job(DEADLY, now=1.0)
        self.fixture.send(first, 1.0)
        self.crash(first, 1.0)
        job = self.make_job(DEADLY, now=2.0, resumable=True, max_attempts=3)
        self.fixture.send(job, 2.0)
        actions = self.crash(job, 2.0)
        # The second crash is certain only once nothing listens there, after the retry has begun.
        self.assertEqual([a.job for a in actions if isinstance(a, Send)], [job])
        self.assertEqual(actions[-1], Fail(job, FailReason.CRASHED_UPSTREAMS))

    def test_broken_run_is_followed_by_a_probe(self):
        """Guards against a crash that is noticed only when the next request is sent there."""
        job = self.make_job(SHARED)
        instance = self.fixture.send(job)
        actions = self.dispatcher.fail(job, AttemptFailure.BROKEN, 0.5)
        self.assertIn(Probe(job, instance), actions)

    def test_request_with_an_event_is_no_suspect(self):
        """Guards against blaming long streams for the crashes under other requests."""
        for now in (1.0, 2.0, 3.0):
            job = self.make_job(SHARED, now=now)
            self.fixture.send(job, now)
            self.dispatcher.record_answered(job, now + 0.1)
            self.crash(job, now + 0.2)
        self.assertFalse(self.dispatcher.crashes.all_evidence().broken_runs)

    def test_only_the_chosen_node_tests_a_verdict(self):
        """Guards against trials by all nodes at the same time."""
        self.crash_twice()
        (action,) = self.dispatcher.submit(self.make_job(SHARED, DEADLY, now=60.0), 60.0)
        self.assertIsInstance(action, Refuse)
        self.dispatcher.tries_blocked = True
        trial = self.make_job(SHARED, DEADLY, now=60.0)
        (action,) = self.dispatcher.submit(trial, 60.0)
        self.assertIsInstance(action, Send)
        (action,) = self.dispatcher.submit(self.make_job(SHARED, DEADLY, now=61.0), 61.0)
        self.assertIsInstance(action, Refuse)
        self.dispatcher.record_answered(trial, 61.5)
        (action,) = self.dispatcher.submit(self.make_job(SHARED, DEADLY, now=62.0), 62.0)
        self.assertIsInstance(action, Send)
