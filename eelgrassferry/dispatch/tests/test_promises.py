"""Property tests of what callers are promised, over any ends of runs."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ...fleet import RequestKind
from .. import Answer, Fail, FlightEnd, Refuse, Send
from .fixtures import DispatchWorld

DAYS = settings(max_examples=60, deadline=None, derandomize=True)
MAY_HAVE_RUN = (FlightEnd.ERROR, FlightEnd.BROKEN, FlightEnd.SILENT)
KINDS = (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT, RequestKind.STREAM)


class Day:
    """Random requests, ends of runs and pauses; records what happened to each request."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.world = DispatchWorld()
        self.now = 0.0
        self.runs: dict[str, int] = {}
        self.repeats: list[float] = []
        self.arrivals: list[float] = []
        self.last: dict[str, object] = {}
        self.flying: list = []

    def play(self, requests: int) -> None:
        """Submit requests and end their runs until none is left."""
        dispatcher = self.world.dispatcher
        for _ in range(requests):
            self.now += self.rng.expovariate(8.0)
            more = {"max_attempts": self.rng.choice([1, 2]), "resumable": self.rng.random() < 0.3}
            job = self.world.make_job(self.rng.choice(KINDS), self.now, **more)
            self.arrivals.append(self.now)
            self.take(dispatcher.submit(job, self.now))
            while self.flying and self.rng.random() < 0.7:
                self.end(self.flying.pop(self.rng.randrange(len(self.flying))))
            self.take(dispatcher.pump(self.now))
        while self.flying:
            self.now += 0.01
            self.end(self.flying.pop())

    def end(self, job) -> None:
        """End a run in one of all ways."""
        dispatcher, end = self.world.dispatcher, self.rng.choice([None, None, *FlightEnd])
        if end in (FlightEnd.UNSENT, FlightEnd.NO_LISTENER):
            self.take(dispatcher.fail(job, end, self.now))
            return
        dispatcher.note_sent(job)
        if end is None or end in MAY_HAVE_RUN:
            self.runs[job.request_id] = self.runs.get(job.request_id, 0) + 1
        if end is FlightEnd.ERROR:
            job.stored_answer = ("head", b"")
        if end is None:
            self.last[job.request_id] = "served"
            self.take(dispatcher.succeed(job, self.now))
        else:
            self.take(dispatcher.fail(job, end, self.now))

    def take(self, actions) -> None:
        """Record decisions."""
        for action in actions:
            if isinstance(action, Send):
                if action.repeat:
                    self.repeats.append(self.now)
                self.flying.append(action.job)
                continue
            assert isinstance(action, Refuse | Fail | Answer)
            self.last[action.job.request_id] = action
            if isinstance(action, Refuse):
                assert not self.runs.get(action.job.request_id), "REFUSED: it has run"
            if action.job.route.kind is RequestKind.NON_IDEMPOTENT:
                assert self.runs.get(action.job.request_id, 0) <= 1, "TWICE"


class PromisesTest(unittest.TestCase):
    """Any request, any ends of its runs."""

    @DAYS
    @given(st.integers(0, 2**32))
    def test_refused_requests_have_not_run_and_orders_run_once(self, seed):
        """Guards against REFUSED and TWICE."""
        day = Day(seed)
        day.play(80)
        for job_id, runs in day.runs.items():
            self.assertLessEqual(runs, 2, job_id)

    @DAYS
    @given(st.integers(0, 2**32))
    def test_every_request_gets_one_end(self, seed):
        """Guards against requests that are forgotten or answered twice."""
        day = Day(seed)
        day.play(60)
        self.assertEqual(day.world.dispatcher.waiting + len(day.last), 60)

    @DAYS
    @given(st.integers(0, 2**32))
    def test_repeats_stay_within_the_budget(self, seed):
        """Guards against BUDGET: repeats in any window, over 0.2 of the requests plus 54."""
        day = Day(seed)
        day.play(300)
        for first in day.repeats:
            window = [at for at in day.repeats if first <= at <= first + 10.0]
            asked = [at for at in day.arrivals if first - 10.0 <= at <= first + 10.0]
            self.assertLessEqual(len(window), 0.2 * len(asked) + 54)


class NodesShareTheBudgetTest(unittest.TestCase):
    """Seven nodes, each in an outage of its own making."""

    def test_sum_over_all_nodes(self):
        """Guards against BUDGET where each node keeps to it alone."""
        repeats = 0
        for _ in range(7):
            world = DispatchWorld(nodes=7)
            for number in range(30):
                job = world.make_job(RequestKind.IDEMPOTENT, now=number / 10, max_attempts=2)
                actions = world.dispatcher.submit(job, number / 10)
                while actions and isinstance(actions[-1], Send):
                    repeats += actions[-1].repeat
                    world.dispatcher.note_sent(job)
                    actions = world.dispatcher.fail(job, FlightEnd.BROKEN, number / 10)
        self.assertLessEqual(repeats, 0.2 * 210 + 54)
