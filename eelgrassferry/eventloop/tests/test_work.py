"""Tests of the turns that connections take in processing received bytes."""

import asyncio
import unittest
from unittest import mock

from structlog.testing import capture_logs

from .. import Work, WorkQueue
from ..work import DEFERRAL_S, EVENTS_PER_STEP, LOGGED_WORK_S
from ..work_queue import LONG_STEP_S, SLICE_S, current_work_queue

STEP_S = 0.001


class WorkCase(unittest.IsolatedAsyncioTestCase):
    """Connections with events to process, each step of which takes ``STEP_S`` of virtual time."""

    def setUp(self):
        self.now = 0.0
        self.queue = WorkQueue(lambda: self.now)
        patch = mock.patch("eelgrassferry.eventloop.work.current_work_queue", lambda: self.queue)
        patch.start()
        self.addCleanup(patch.stop)
        self.left: dict[str, int] = {}
        self.steps: list[str] = []
        self.done: list[str] = []

    def open(self, name: str, events: int, **more) -> Work:
        """Return the work of a connection on which events have been received."""
        self.left[name] = events

        def step(limit: int) -> bool:
            self.now += STEP_S
            self.steps.append(name)
            self.left[name] = max(0, self.left[name] - limit)
            return self.left[name] > 0

        return Work("test", step, lambda: name, lambda: self.done.append(name), **more)


class TurnsTest(WorkCase):
    """Several connections on one event loop."""

    async def test_ordinary_work_is_done_at_once(self):
        """Guards against a delay of each request or answer while nothing else is to be done."""
        work = self.open("a", EVENTS_PER_STEP)
        work.submit()
        self.assertEqual((self.left["a"], work.is_pending, self.done), (0, False, []))

    async def test_long_steps_of_many_connections_are_done_in_turn(self):
        """Guards against a process that stands still because many connections have received bytes
        that make few events, each of which takes long (review case 15).
        """

        def step(_limit: int) -> bool:
            self.now += LONG_STEP_S + STEP_S
            return False

        works = [Work("test", step) for _ in range(100)]
        for work in works:
            work.submit()
        for _ in range(5):
            begun_at = self.now
            for work in works:
                work.submit()
            self.assertEqual(self.now, begun_at)
            while any(work.is_pending for work in works):
                begun_at = self.now
                await asyncio.sleep(0)
                self.assertLess(self.now - begun_at, SLICE_S + LONG_STEP_S + 2 * STEP_S)
        self.now += DEFERRAL_S
        works[0].submit()
        self.assertFalse(works[0].is_pending)

    async def test_work_in_one_iteration_does_not_grow_with_the_connections(self):
        """Guards against a process that stands still for seconds because many connections have
        received many events (review cases 6 and 10).
        """
        for number in range(200):
            self.open(f"c{number}", 100 * EVENTS_PER_STEP).submit()
        self.assertEqual(len(self.steps), 200)
        for _ in range(100):
            before = self.now
            await asyncio.sleep(0)
            self.assertLessEqual(self.now - before, SLICE_S + STEP_S)

    async def test_connections_take_turns(self):
        """Guards against a connection that waits until the others have no more events."""
        for name in "abc":
            self.open(name, 10 * EVENTS_PER_STEP).submit()
        while self.left["a"]:
            await asyncio.sleep(0)
        self.assertEqual("".join(self.steps[:9]), "abcabcabc")
        while any(self.left.values()):
            await asyncio.sleep(0)
        self.assertEqual(self.done, ["a", "b", "c"])

    async def test_ordinary_work_does_not_wait_for_much_work(self):
        """Guards against ordinary callers that wait until a crowd has been served."""
        for number in range(200):
            self.open(f"c{number}", 100 * EVENTS_PER_STEP).submit()
        await asyncio.sleep(0)
        self.open("ordinary", 3).submit()
        self.assertEqual(self.left["ordinary"], 0)

    async def test_connection_with_much_work_gets_no_first_step_for_each_read(self):
        """Guards against a crowd that takes a step at once with each read, beside its turns."""
        works = [self.open(f"c{number}", 2 * EVENTS_PER_STEP) for number in range(200)]
        for work in works:
            work.submit()
        while len(self.done) < 200:
            await asyncio.sleep(0)
        before = self.now
        for work in works:
            self.left[work.peer()] = 2 * EVENTS_PER_STEP
            work.submit()
        self.assertEqual(self.now, before)
        while len(self.done) < 400:
            await asyncio.sleep(0)
            self.assertLessEqual(self.now - before, SLICE_S + STEP_S)
            before = self.now

    async def test_peer_with_much_work_is_logged(self):
        """Guards against a process that is kept busy by a peer that nobody can name."""
        work = self.open("flood", 4000 * EVENTS_PER_STEP)
        with capture_logs() as lines:
            work.submit()
            while work.is_pending:
                await asyncio.sleep(0)
        self.assertEqual([line["peer"] for line in lines], ["flood"] * 2)
        self.assertGreaterEqual(lines[0]["work_ms"], 1000 * LOGGED_WORK_S)


class EndTest(WorkCase):
    """Work that ends early."""

    async def test_cancelled_work_is_not_done(self):
        """Guards against work on a connection that has ended."""
        work = self.open("a", 10 * EVENTS_PER_STEP)
        work.submit()
        work.cancel()
        await asyncio.sleep(0)
        self.assertEqual((self.steps, self.done), (["a"], []))

    async def test_error_ends_its_connection_only(self):
        """Guards against an error that keeps the other connections from their turns."""
        errors = []
        broken = self.open("a", 10 * EVENTS_PER_STEP, on_error=errors.append)
        other = self.open("b", 10 * EVENTS_PER_STEP)
        broken.submit()
        other.submit()
        broken._step = mock.Mock(side_effect=ValueError("x"))
        with capture_logs():
            while other.is_pending:
                await asyncio.sleep(0)
        self.assertEqual((len(errors), broken.is_pending, self.left["b"]), (1, False, 0))

    async def test_coroutine_waits_for_all_steps(self):
        """Guards against a reader that goes on with half of the received events."""
        work = self.open("a", 10 * EVENTS_PER_STEP)
        await work.run()
        self.assertEqual(self.left["a"], 0)
        self.left["a"] = 10 * EVENTS_PER_STEP
        work._step = mock.Mock(side_effect=ValueError("x"))
        with self.assertRaises(ValueError):
            await work.run()

    async def test_cancelled_coroutine_cancels_its_work(self):
        """Guards against work for a request that has timed out."""
        work = self.open("a", 10**9)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.0):
                await work.run()
        steps = len(self.steps)
        await asyncio.sleep(0)
        self.assertEqual((work.is_pending, len(self.steps)), (False, steps))


class WithoutLoopTest(unittest.TestCase):
    """A connection that is used without an event loop."""

    def test_long_steps_are_done_at_once(self):
        """Guards against an error because work cannot wait for a loop that does not run."""
        times = iter(range(100))
        queue = current_work_queue()
        queue.clock = lambda: float(next(times))
        with mock.patch("eelgrassferry.eventloop.work.current_work_queue", lambda: queue):
            work = Work("test", lambda _limit: False)
        for _ in range(3):
            work.submit()
            self.assertFalse(work.is_pending)
