"""Property tests of the guarantees to callers under arbitrary failures of attempts."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ...fleet import RequestKind
from .. import AttemptFailure, Fail, ForwardAnswer, Probe, Refuse, Send
from .fixtures import DispatcherFixture

PROPERTY_SETTINGS = settings(max_examples=60, deadline=None, derandomize=True)
MAY_HAVE_RUN = (AttemptFailure.ERROR, AttemptFailure.BROKEN, AttemptFailure.SILENT)
KINDS = (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT, RequestKind.STREAM)


class RandomWorkload:
    """Random requests and attempt outcomes, with a record of the actions for each request."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.fixture = DispatcherFixture()
        self.now = 0.0
        self.run_counts: dict[str, int] = {}
        self.retries: list[float] = []
        self.arrivals: list[float] = []
        self.final: dict[str, object] = {}
        self.in_flight: list = []

    def run(self, requests: int) -> None:
        """Submit requests and end their attempts until none is in flight."""
        dispatcher = self.fixture.dispatcher
        for _ in range(requests):
            self.now += self.rng.expovariate(8.0)
            more = {"max_attempts": self.rng.choice([1, 2]), "resumable": self.rng.random() < 0.3}
            job = self.fixture.make_job(self.rng.choice(KINDS), self.now, **more)
            self.arrivals.append(self.now)
            self.record(dispatcher.submit(job, self.now))
            while self.in_flight and self.rng.random() < 0.7:
                self.end_attempt(self.in_flight.pop(self.rng.randrange(len(self.in_flight))))
            self.record(dispatcher.dispatch_waiting(self.now))
        while self.in_flight:
            self.now += 0.01
            self.end_attempt(self.in_flight.pop())

    def end_attempt(self, job) -> None:
        """End an attempt with a random outcome."""
        dispatcher, end = self.fixture.dispatcher, self.rng.choice([None, None, *AttemptFailure])
        if end in (AttemptFailure.UNSENT, AttemptFailure.NO_LISTENER):
            self.record(dispatcher.fail(job, end, self.now))
            return
        dispatcher.record_sent(job)
        is_broken_stream = job.route.kind is RequestKind.STREAM and end is AttemptFailure.BROKEN
        if is_broken_stream and self.rng.random() < 0.5:
            job.answer_begun, job.last_event_id = True, "1"
        if end is None or end in MAY_HAVE_RUN:
            self.run_counts[job.request_id] = self.run_counts.get(job.request_id, 0) + 1
        if end is AttemptFailure.ERROR:
            job.stored_answer = ("head", b"")
        if end is None:
            self.final[job.request_id] = "served"
            self.record(dispatcher.succeed(job, self.now))
        else:
            self.record(dispatcher.fail(job, end, self.now))

    def record(self, actions) -> None:
        """Record actions and check the guarantees for refused and non-idempotent requests."""
        for action in actions:
            if isinstance(action, Send):
                if action.repeat:
                    self.retries.append(self.now)
                self.in_flight.append(action.job)
                continue
            if isinstance(action, Probe):
                continue
            assert isinstance(action, Refuse | Fail | ForwardAnswer)
            self.final[action.job.request_id] = action
            if action.job.answer_begun:
                assert isinstance(action, Fail), "an answer was sent behind one that had begun"
            if isinstance(action, Refuse):
                assert not self.run_counts.get(
                    action.job.request_id
                ), "a request was refused although it has run"
            if action.job.route.kind is RequestKind.NON_IDEMPOTENT:
                assert self.run_counts.get(action.job.request_id, 0) <= 1, "a request ran twice"


class GuaranteesTest(unittest.TestCase):
    """Guarantees for random requests with random outcomes of their attempts."""

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_refused_requests_have_not_run_and_non_idempotent_ones_run_once(self, seed):
        """Guards against refusing a request that has run, and against running a non-idempotent
        request twice.
        """
        workload = RandomWorkload(seed)
        workload.run(80)
        for job_id, runs in workload.run_counts.items():
            self.assertLessEqual(runs, 2, job_id)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_every_request_gets_one_final_answer(self, seed):
        """Guards against requests that are lost or answered twice."""
        workload = RandomWorkload(seed)
        workload.run(60)
        self.assertEqual(workload.fixture.dispatcher.waiting + len(workload.final), 60)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_retries_stay_within_the_budget(self, seed):
        """Guards against more retries in any window than 0.2 of the requests plus 54."""
        workload = RandomWorkload(seed)
        workload.run(300)
        for first in workload.retries:
            window = [at for at in workload.retries if first <= at <= first + 10.0]
            requested = [at for at in workload.arrivals if first - 10.0 <= at <= first + 10.0]
            self.assertLessEqual(len(window), 0.2 * len(requested) + 54)


class SharedRetryBudgetTest(unittest.TestCase):
    """Seven nodes, all attempts of which fail."""

    def test_sum_over_all_nodes(self):
        """Guards against exceeding the retry budget in total although no single node does."""
        retries = 0
        for _ in range(7):
            fixture = DispatcherFixture(nodes=7)
            for number in range(30):
                job = fixture.make_job(RequestKind.IDEMPOTENT, now=number / 10, max_attempts=2)
                actions = fixture.dispatcher.submit(job, number / 10)
                while actions and isinstance(actions[-1], Send):
                    retries += actions[-1].repeat
                    fixture.dispatcher.record_sent(job)
                    actions = fixture.dispatcher.fail(job, AttemptFailure.BROKEN, number / 10)
        self.assertLessEqual(retries, 0.2 * 210 + 54)
