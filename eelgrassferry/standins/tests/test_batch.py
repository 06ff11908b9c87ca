"""Tests of continuous batching in virtual time."""

import unittest

from ..batch import Batch, BatchSpeed, Job, JobState


class BatchTest(unittest.TestCase):
    """Prompts of 10 tokens at 100 tokens a second; 20 output tokens a second are shared."""

    def setUp(self):
        self.order: list[str] = []
        self.batch = Batch(BatchSpeed(100.0, 20.0, 15.0, 2, 2), self.start)

    def start(self, job: Job) -> int:
        self.order.append(job.request_id)
        return 10

    def submit(self, name: str, urgent: bool = True, last: int = 100) -> Job:
        job = Job(name, urgent=urgent, first=0, last=last)
        self.accepted = self.batch.submit(job)
        return job

    def test_streams_share_the_speed(self):
        """Guards against an engine that serves more than its speed."""
        one = self.submit("one")
        self.batch.advance(0.1)
        self.assertEqual(one.produced, 1)
        self.batch.advance(2.0)
        self.assertEqual(one.produced, 31)
        two = self.submit("two")
        self.batch.advance(0.1)
        self.batch.advance(2.0)
        self.assertEqual((two.produced, self.batch.tokens), (21, one.produced + two.produced))
        self.assertLessEqual(one.produced, 53)

    def test_urgent_jobs_are_admitted_first(self):
        """Guards against urgent requests that queue behind patient ones."""
        jobs = [self.submit(name, urgent=False, last=1) for name in ("p1", "p2", "p3")]
        self.submit("u1", last=1)
        full = self.submit("u2")
        self.assertEqual((self.accepted, full.state), (False, JobState.CANCELLED))
        self.batch.cancel(full)
        for _ in range(4):
            self.batch.advance(0.2)
        self.assertEqual(self.order, ["p1", "p2", "u1", "p3"])
        self.assertEqual({job.state for job in jobs}, {JobState.DONE})

    def test_resume_at_the_end_produces_nothing(self):
        """Guards against a resumed request that holds its place for ever."""
        job = Job("r", urgent=True, first=3, last=3)
        self.batch.submit(job)
        self.batch.advance(1.0)
        self.assertEqual((job.state, self.batch.running), (JobState.DONE, 0))
