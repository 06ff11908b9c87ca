"""Tests of continuous batching in simulated time."""

import unittest

from ..batch import Batch, BatchSpeed, Job, JobState


class BatchTest(unittest.TestCase):
    """A batch of two jobs with prompts of 10 tokens.

    It prefills 100 tokens per second and decodes 20 per second in total, at most 15 per job.
    """

    def setUp(self):
        self.admitted: list[str] = []
        self.batch = Batch(BatchSpeed(100.0, 20.0, 15.0, 2, 2), self.start_job)

    def start_job(self, job: Job) -> int:
        self.admitted.append(job.request_id)
        return 10

    def submit(self, name: str, urgent: bool = True, end_index: int = 100) -> Job:
        job = Job(name, urgent=urgent, first_index=0, end_index=end_index)
        self.accepted = self.batch.submit(job)
        return job

    def test_running_jobs_share_decode_speed(self):
        """Guards against a batch that decodes faster in total than its options allow."""
        one = self.submit("one")
        self.batch.advance(0.1)
        self.assertEqual(one.produced, 1)
        self.batch.advance(2.0)
        self.assertEqual(one.produced, 31)
        two = self.submit("two")
        self.batch.advance(0.1)
        self.batch.advance(2.0)
        self.assertEqual(
            (two.produced, self.batch.produced_tokens), (21, one.produced + two.produced)
        )
        self.assertLessEqual(one.produced, 53)

    def test_urgent_jobs_are_admitted_first(self):
        """Guards against urgent jobs behind patient ones, and against a queue above its limit."""
        jobs = [self.submit(name, urgent=False, end_index=1) for name in ("p1", "p2", "p3")]
        self.submit("u1", end_index=1)
        full = self.submit("u2")
        self.assertEqual((self.accepted, full.state), (False, JobState.CANCELLED))
        self.batch.cancel(full)
        for _ in range(4):
            self.batch.advance(0.2)
        self.assertEqual(self.admitted, ["p1", "p2", "u1", "p3"])
        self.assertEqual({job.state for job in jobs}, {JobState.DONE})

    def test_job_resumed_at_its_end_produces_no_tokens(self):
        """Guards against a job that never ends.

        A resumed request whose tokens were all received has nothing left to produce, so that no
        token would end it.
        """
        job = Job("r", urgent=True, first_index=3, end_index=3)
        self.batch.submit(job)
        self.batch.advance(1.0)
        self.assertEqual((job.state, self.batch.running), (JobState.DONE, 0))
