"""Tests of resumable streams whose attempts fail in different ways."""

import unittest

from ...fleet import RequestKind
from .. import AttemptFailure, Fail, FailReason, ForwardAnswer, Job, Probe
from .fixtures import DispatcherFixture


class FailedResumptionTest(unittest.TestCase):
    """A stream with two attempts, of which one breaks off and one is answered with an error."""

    def setUp(self):
        self.fixture = DispatcherFixture()

    def make_stream(self) -> Job:
        """Return a resumable stream whose first attempt is on its way."""
        job = self.fixture.make_job(RequestKind.STREAM, resumable=True, max_attempts=2)
        self.fixture.send(job)
        return job

    def begin_answer(self, job: Job) -> None:
        """Mark the answer as begun, as after the first event."""
        job.answer_begun, job.last_event_id = True, "2"

    def fail(self, job: Job, failure: AttemptFailure) -> object:
        """End the current attempt and return the action for the request."""
        if failure is AttemptFailure.ERROR:
            job.stored_answer = ("head", b"own failure")
        actions = self.fixture.dispatcher.fail(job, failure, 0.1)
        (action,) = [action for action in actions if not isinstance(action, Probe)]
        self.fixture.dispatcher.record_sent(job)
        return action

    def test_error_after_events_is_not_sent(self):
        """Guards against a stored error sent as a second answer behind the events of a stream."""
        job = self.make_stream()
        self.begin_answer(job)
        self.fail(job, AttemptFailure.BROKEN)
        self.assertEqual(self.fail(job, AttemptFailure.ERROR), Fail(job, FailReason.BAD_ANSWER))

    def test_error_before_events_is_not_sent(self):
        """Guards against the error of the first attempt sent behind the events of the second."""
        job = self.make_stream()
        self.fail(job, AttemptFailure.ERROR)
        self.begin_answer(job)
        action = self.fail(job, AttemptFailure.BROKEN)
        self.assertEqual(action, Fail(job, FailReason.CONNECTION_LOST))

    def test_error_is_sent_if_no_answer_has_begun(self):
        """Guards against a failure of our own in place of the upstream's error."""
        job = self.make_stream()
        self.fail(job, AttemptFailure.BROKEN)
        self.assertEqual(self.fail(job, AttemptFailure.ERROR), ForwardAnswer(job))

    def test_stop_does_not_send_the_error(self):
        """Guards against a second answer to a stream that waits for a resumption when the node
        stops.
        """
        job = self.make_stream()
        self.fail(job, AttemptFailure.ERROR)
        self.begin_answer(job)
        job.route = self.fixture.make_job(resumable=True, max_attempts=3).route
        for instance in ("e0", "e1", "e2"):
            self.fixture.dispatcher.selector.backoffs.record_crash(instance, 0.1)
        self.fixture.dispatcher.fail(job, AttemptFailure.BROKEN, 0.1)
        self.assertTrue(job.waiting)
        self.assertEqual(self.fixture.dispatcher.stop(0.2), [Fail(job, FailReason.DEADLINE)])
