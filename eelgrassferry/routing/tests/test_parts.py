"""Tests of the parts: load, speed, limit, budget, prefix cache, choice, queues, residency."""

import doctest
import unittest
from collections import Counter
from random import Random

from .. import budget, claims, limit, load, suspects
from ..budget import RetryBudget
from ..choice import Candidate, choose
from ..job import Job
from ..limit import InflightLimit
from ..load import LoadBook
from ..messages import CacheEvent, CacheEventKind, LoadReport, ResidentCopy, UpstreamState
from ..prefix import PREFIX_BLOCK_TOKENS, PrefixView
from ..residency import ResidencyView
from ..speed import SpeedBook
from ..waiting import ModelQueue
from .fixtures import build_deployment, build_request


def load_tests(loader, tests, pattern):
    """Run the examples in doc comments too."""
    for module in (budget, claims, limit, load, suspects):
        tests.addTests(doctest.DocTestSuite(module))
    return tests


class LoadBookTest(unittest.TestCase):
    """The estimate of requests at an upstream."""

    def test_own_dispatches_count_until_the_report_has_them(self):
        """Guards against counting a dispatch twice, or not at all, while the report lags."""
        book = LoadBook()
        for time in (1.0, 2.0, 3.0):
            book.change_own("u1", 1, time)
        book.report(LoadReport("u1", 5, 0, 1.5))
        self.assertEqual(book.in_flight("u1", 3.0), 7.0)
        book.report(LoadReport("u1", 7, 0, 3.5))
        self.assertEqual(book.in_flight("u1", 3.6), 7.0)

    def test_peer_dispatches_since_the_report_are_added(self):
        """Guards against herding on an upstream that peers have filled since the report."""
        book = LoadBook()
        book.set_peer("n2", {"u1": 2.0}, 1.0)
        book.report(LoadReport("u1", 2, 0, 1.5))
        book.set_peer("n2", {"u1": 6.0}, 2.0)
        self.assertEqual(book.in_flight("u1", 2.0), 6.0)
        book.set_peer("n2", {}, 2.5)
        self.assertEqual(book.in_flight("u1", 2.5), 0.0)

    def test_stale_report_is_not_used(self):
        """Guards against avoiding an idle upstream because of an old report."""
        book = LoadBook()
        book.report(LoadReport("u1", 9, 9, 0.0))
        self.assertEqual(book.in_flight("u1", 60.0), 0.0)

    def test_silent_peer_is_forgotten(self):
        """Guards against places lost for good to a node that crashed."""
        book = LoadBook()
        book.set_peer("n2", {"u1": 4.0}, 0.0)
        self.assertEqual(book.in_flight("u1", 1.0), 4.0)
        self.assertEqual(book.in_flight("u1", 60.0), 0.0)


class LimitTest(unittest.TestCase):
    """The in-flight limit."""

    def test_rises_only_while_it_is_used(self):
        """Guards against a limit that an idle night opens."""
        value = InflightLimit(8)
        for _ in range(100):
            value.note(0.1, 0.35, in_flight=1, now=0.0)
        self.assertEqual(value.value, 8)
        for _ in range(10):
            value.note(0.1, 0.35, in_flight=8, now=0.0)
        self.assertGreater(value.value, 8)

    def test_few_late_first_tokens_do_not_close_it(self):
        """Guards against a limit held at a third of the batch by one late token in forty."""
        value = InflightLimit(16)
        for index in range(2000):
            value.note(1.0 if index % 40 == 0 else 0.1, 0.35, in_flight=16, now=0.0)
        self.assertGreaterEqual(value.value, 16)

    def test_lasting_lateness_closes_it(self):
        """Guards against a limit that does not protect an overloaded upstream."""
        value = InflightLimit(16)
        for _ in range(60):
            value.note(1.0, 0.35, in_flight=16, now=0.0)
        self.assertEqual(value.value, 1.0)

    def test_share_is_closed_to_patient_work_but_not_all(self):
        """Guards against I9 in both directions."""
        value = InflightLimit(10)
        self.assertGreaterEqual(value.room(True, 9, 0.0), 1)
        self.assertLess(value.room(False, 9, 0.0), 1)
        value.value = 1.0
        self.assertGreaterEqual(value.room(False, 0, 0.0), 1)

    def test_low_limit_recovers_without_first_tokens(self):
        """Guards against a node that its peers' requests keep out of an upstream for good."""
        value = InflightLimit(16)
        for _ in range(20):
            value.note(1.0, 0.35, in_flight=16, now=0.0)
        self.assertLess(value.room(True, 8, 0.0), 1)
        self.assertGreaterEqual(value.room(True, 14, 60.0), 1)

    def test_patient_work_does_not_queue_at_the_engine(self):
        """Guards against urgent requests behind patient ones in the engine's own queue (I9)."""
        value = InflightLimit(16)
        value.value = 24.0
        self.assertLess(value.room(False, 13, 0.0), 1)


class BudgetTest(unittest.TestCase):
    """The retry budget."""

    def test_retries_are_a_share_of_successes(self):
        """Guards against retries that multiply the load of an overloaded system."""
        value = RetryBudget(0.1)
        while value.take(0.0):
            pass
        for _ in range(100):
            value.note_success()
        self.assertEqual(sum(value.take(0.0) for _ in range(50)), 10)

    def test_floor_allows_retries_without_successes(self):
        """Guards against a node that can never retry its first requests."""
        value = RetryBudget(0.1)
        while value.take(0.0):
            pass
        self.assertTrue(value.take(1.5))


class PrefixTest(unittest.TestCase):
    """The prefix cache view."""

    def test_gap_is_a_loss_of_knowledge(self):
        """Guards against reading a gap as an empty cache, or as a certain one."""
        view = PrefixView()
        view.update("u1", [CacheEvent(1, CacheEventKind.STORED, ("a", "b"))])
        full = view.cached_tokens("u1", ("a", "b"))
        self.assertEqual(full, 2 * PREFIX_BLOCK_TOKENS)
        view.update("u1", [CacheEvent(5, CacheEventKind.STORED, ("c",))])
        after = view.cached_tokens("u1", ("a", "b"))
        self.assertGreater(after, 0)
        self.assertLess(after, full)

    def test_late_stored_event_does_not_undo_a_removal(self):
        """Guards against events that arrive out of order."""
        view = PrefixView()
        view.update("u1", [CacheEvent(1, CacheEventKind.STORED, ("a",))])
        view.update("u1", [CacheEvent(3, CacheEventKind.REMOVED, ("a",))])
        view.update("u1", [CacheEvent(2, CacheEventKind.STORED, ("a",))])
        self.assertEqual(view.cached_tokens("u1", ("a",)), 0)

    def test_prefix_ends_at_the_first_missing_block(self):
        """Guards against counting blocks that cannot be used."""
        view = PrefixView()
        view.update("u1", [CacheEvent(1, CacheEventKind.STORED, ("a", "c"))])
        self.assertEqual(view.cached_tokens("u1", ("a", "b", "c")), PREFIX_BLOCK_TOKENS)


class ChoiceTest(unittest.TestCase):
    """The better of two weighted candidates."""

    def test_equal_view_does_not_herd(self):
        """Guards against all nodes sending to the upstream with the best stale estimate."""
        known = [Candidate(f"u{i}", "1", False, 0.1 + 0.001 * i, 9) for i in range(6)]
        taken = Counter(choose(known, Random(seed)).upstream for seed in range(700))
        self.assertEqual(len(taken), 6)
        self.assertLess(max(taken.values()), 350)

    def test_slow_upstream_is_rarely_taken(self):
        """Guards against treating very different speeds alike."""
        known = [Candidate("fast", "1", False, 0.03, 9), Candidate("slow", "1", False, 0.3, 9)]
        taken = Counter(choose(known, Random(seed)).upstream for seed in range(500))
        self.assertLess(taken["slow"], 10)


class SpeedTest(unittest.TestCase):
    """Observed speed against settings."""

    def test_slow_upstream_is_learned_and_tried_again(self):
        """Guards against trusting the settings, and against avoiding an upstream for good."""
        book = SpeedBook()
        for index in range(50):
            book.note("u1", 0.1, 0.4, 0.1 * index)
        self.assertGreater(book.factor("u1", 5.0), 3.0)
        self.assertLess(book.factor("u1", 200.0), 1.1)

    def test_time_between_tokens_does_not_fade(self):
        """Guards against sending a full share to an upstream whose tokens come too slowly."""
        book = SpeedBook()
        for _ in range(10):
            book.note_gap("u1", 0.01, 0.05)
        self.assertGreater(book.gap_factor("u1"), 4.5)
        book.forget("u1")
        self.assertEqual(book.gap_factor("u1"), 1.0)


class QueueTest(unittest.TestCase):
    """The queue of a model."""

    def test_order_and_bound(self):
        """Guards against patient work before urgent, late deadlines first, unbounded length."""
        queue = ModelQueue("m1", 2)
        late = Job(build_request("late"), 0.0, 9.0)
        soon = Job(build_request("soon"), 0.0, 1.0)
        patient = Job(build_request("patient", urgent=False), 0.0, 0.5)
        for job in (late, soon, patient):
            queue.push(job)
        self.assertIs(queue.next(), soon)
        self.assertTrue(queue.is_full(True))
        self.assertFalse(queue.is_full(False))
        queue.remove(soon)
        queue.remove(late)
        self.assertIs(queue.next(), patient)
        self.assertEqual(list(queue.expired(0.6)), [patient])


class ResidencyTest(unittest.TestCase):
    """Copies, versions and states."""

    def test_wanted_version_is_preferred_and_old_one_stands_in(self):
        """Guards against a version change that leaves a model without a copy."""
        view = ResidencyView(build_deployment())
        view.update("u1", (ResidentCopy("m1", "0"),), UpstreamState.LIVE)
        self.assertEqual([p.version for p in view.placements("m1")], ["0"])
        view.update("u2", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        self.assertEqual([p.upstream for p in view.placements("m1")], ["u2"])
        self.assertEqual([p.upstream for p in view.placements("m1", "0")], ["u1"])

    def test_answer_follows_each_change(self):
        """Guards against an answer kept from before a copy came or stopped serving."""
        view = ResidencyView(build_deployment())
        view.update("u1", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        self.assertEqual(len(view.placements("m1")), 1)
        view.update("u2", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        self.assertEqual(len(view.placements("m1")), 2)
        view.update("u1", (ResidentCopy("m1", "1", serving=False),), UpstreamState.LIVE)
        self.assertEqual([p.upstream for p in view.placements("m1")], ["u2"])
        view.update("u2", (ResidentCopy("m1", "1"),), UpstreamState.LEAVING)
        self.assertEqual(view.placements("m1"), ())

    def test_gone_upstream_is_dropped(self):
        """Guards against work for an upstream that no longer exists."""
        view = ResidencyView(build_deployment())
        view.update("u1", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        view.update("u1", (), UpstreamState.GONE)
        self.assertEqual(view.placements("m1"), ())
        self.assertEqual(view.placements("a1"), ())


if __name__ == "__main__":
    unittest.main()
