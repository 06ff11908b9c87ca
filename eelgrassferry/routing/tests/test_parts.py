"""Tests of load, slowness, limit, budget, prefix cache, choice, queue and residency."""

import doctest
import unittest
from collections import Counter
from random import Random

from .. import budget, claims, limit, load, suspects
from ..budget import RetryBudget
from ..choice import Candidate, choose
from ..job import Job
from ..limit import InflightLimit
from ..load import LoadEstimator
from ..messages import CacheEvent, CacheEventKind, LoadReport, ResidentCopy, UpstreamState
from ..model_queue import ModelQueue
from ..prefix import PREFIX_BLOCK_TOKENS, PrefixView
from ..residency import ResidencyView
from ..slowness import SlownessEstimator
from .fixtures import build_deployment, build_request


def load_tests(loader, tests, pattern):
    """Add the doctests of the modules."""
    for module in (budget, claims, limit, load, suspects):
        tests.addTests(doctest.DocTestSuite(module))
    return tests


class LoadEstimatorTest(unittest.TestCase):
    """Tests of the estimated number of requests at an upstream."""

    def test_own_dispatches_are_added_until_the_report_contains_them(self):
        """Guards against counting a dispatch twice, or not at all, while the report lags."""
        estimator = LoadEstimator()
        for time in (1.0, 2.0, 3.0):
            estimator.adjust_own_count("u1", 1, time)
        estimator.update_report(LoadReport("u1", 5, 0, 1.5))
        self.assertEqual(estimator.in_flight("u1", 3.0), 7.0)
        estimator.update_report(LoadReport("u1", 7, 0, 3.5))
        self.assertEqual(estimator.in_flight("u1", 3.6), 7.0)

    def test_peer_dispatches_since_the_report_are_added(self):
        """Guards against dispatching to an upstream that peers have filled since the report."""
        estimator = LoadEstimator()
        estimator.update_peer("n2", {"u1": 2.0}, 1.0)
        estimator.update_report(LoadReport("u1", 2, 0, 1.5))
        estimator.update_peer("n2", {"u1": 6.0}, 2.0)
        self.assertEqual(estimator.in_flight("u1", 2.0), 6.0)
        estimator.update_peer("n2", {}, 2.5)
        self.assertEqual(estimator.in_flight("u1", 2.5), 0.0)

    def test_stale_report_is_not_used(self):
        """Guards against avoiding an idle upstream because of an old report."""
        estimator = LoadEstimator()
        estimator.update_report(LoadReport("u1", 9, 9, 0.0))
        self.assertEqual(estimator.in_flight("u1", 60.0), 0.0)

    def test_silent_peer_is_ignored(self):
        """Guards against requests of a crashed node that are counted forever."""
        estimator = LoadEstimator()
        estimator.update_peer("n2", {"u1": 4.0}, 0.0)
        self.assertEqual(estimator.in_flight("u1", 1.0), 4.0)
        self.assertEqual(estimator.in_flight("u1", 60.0), 0.0)


class InflightLimitTest(unittest.TestCase):
    """Tests of the in-flight limit."""

    def test_rises_only_while_it_is_used(self):
        """Guards against a limit that rises while it is not used."""
        value = InflightLimit(8)
        for _ in range(100):
            value.record_first_token(0.1, 0.35, in_flight=1, now=0.0)
        self.assertEqual(value.value, 8)
        for _ in range(10):
            value.record_first_token(0.1, 0.35, in_flight=8, now=0.0)
        self.assertGreater(value.value, 8)

    def test_few_late_first_tokens_do_not_lower_it(self):
        """Guards against a limit that drops to a third of the batch at one late token in forty."""
        value = InflightLimit(16)
        for index in range(2000):
            value.record_first_token(1.0 if index % 40 == 0 else 0.1, 0.35, in_flight=16, now=0.0)
        self.assertGreaterEqual(value.value, 16)

    def test_lasting_lateness_lowers_it(self):
        """Guards against a limit that stays high at an overloaded upstream."""
        value = InflightLimit(16)
        for _ in range(60):
            value.record_first_token(1.0, 0.35, in_flight=16, now=0.0)
        self.assertEqual(value.value, 1.0)

    def test_only_a_share_is_reserved_for_urgent_requests(self):
        """Guards against patient requests that use all slots or get none at all (I9)."""
        value = InflightLimit(10)
        self.assertGreaterEqual(value.free_slots(True, 9, 0.0), 1)
        self.assertLess(value.free_slots(False, 9, 0.0), 1)
        value.value = 1.0
        self.assertGreaterEqual(value.free_slots(False, 0, 0.0), 1)

    def test_low_limit_recovers_without_first_tokens(self):
        """Guards against a node that is excluded from an upstream by the requests of its peers."""
        value = InflightLimit(16)
        for _ in range(20):
            value.record_first_token(1.0, 0.35, in_flight=16, now=0.0)
        self.assertLess(value.free_slots(True, 8, 0.0), 1)
        self.assertGreaterEqual(value.free_slots(True, 14, 60.0), 1)

    def test_patient_requests_do_not_queue_at_the_engine(self):
        """Guards against urgent requests queued behind patient ones at the engine (I9)."""
        value = InflightLimit(16)
        value.value = 24.0
        self.assertLess(value.free_slots(False, 13, 0.0), 1)


class RetryBudgetTest(unittest.TestCase):
    """Tests of the retry budget."""

    def test_retries_are_a_share_of_successes(self):
        """Guards against retries that multiply the load during overload."""
        value = RetryBudget(0.1)
        while value.take(0.0):
            pass
        for _ in range(100):
            value.record_success()
        self.assertEqual(sum(value.take(0.0) for _ in range(50)), 10)

    def test_floor_allows_retries_without_successes(self):
        """Guards against a node that can never retry its first requests."""
        value = RetryBudget(0.1)
        while value.take(0.0):
            pass
        self.assertTrue(value.take(1.5))


class PrefixViewTest(unittest.TestCase):
    """Tests of the prefix cache view."""

    def test_gap_lowers_the_confidence(self):
        """Guards against treating a gap as an empty or as an unchanged cache."""
        view = PrefixView()
        view.update("u1", [CacheEvent(1, CacheEventKind.STORED, ("a", "b"))])
        full = view.cached_tokens("u1", ("a", "b"))
        self.assertEqual(full, 2 * PREFIX_BLOCK_TOKENS)
        view.update("u1", [CacheEvent(5, CacheEventKind.STORED, ("c",))])
        after = view.cached_tokens("u1", ("a", "b"))
        self.assertGreater(after, 0)
        self.assertLess(after, full)

    def test_late_stored_event_does_not_undo_a_removal(self):
        """Guards against a late event that restores a block removed by a later-numbered event."""
        view = PrefixView()
        view.update("u1", [CacheEvent(1, CacheEventKind.STORED, ("a",))])
        view.update("u1", [CacheEvent(3, CacheEventKind.REMOVED, ("a",))])
        view.update("u1", [CacheEvent(2, CacheEventKind.STORED, ("a",))])
        self.assertEqual(view.cached_tokens("u1", ("a",)), 0)

    def test_prefix_ends_at_the_first_missing_block(self):
        """Guards against counting cached blocks after a missing one, which cannot be used."""
        view = PrefixView()
        view.update("u1", [CacheEvent(1, CacheEventKind.STORED, ("a", "c"))])
        self.assertEqual(view.cached_tokens("u1", ("a", "b", "c")), PREFIX_BLOCK_TOKENS)


class ChoiceTest(unittest.TestCase):
    """Tests of the selection of an upstream."""

    def test_equal_views_spread_the_requests(self):
        """Guards against all nodes selecting the upstream with the best stale estimate."""
        known = [Candidate(f"u{i}", "1", False, 0.1 + 0.001 * i, 9) for i in range(6)]
        selected = Counter(choose(known, Random(seed)).upstream for seed in range(700))
        self.assertEqual(len(selected), 6)
        self.assertLess(max(selected.values()), 350)

    def test_slow_upstream_is_rarely_selected(self):
        """Guards against selecting upstreams of very different speeds equally often."""
        known = [Candidate("fast", "1", False, 0.03, 9), Candidate("slow", "1", False, 0.3, 9)]
        selected = Counter(choose(known, Random(seed)).upstream for seed in range(500))
        self.assertLess(selected["slow"], 10)


class SlownessEstimatorTest(unittest.TestCase):
    """Tests of the slowness factors."""

    def test_slow_upstream_is_detected_and_used_again(self):
        """Guards against ignoring slowness, and against avoiding an upstream permanently."""
        estimator = SlownessEstimator()
        for index in range(50):
            estimator.record_first_token("u1", 0.1, 0.4, 0.1 * index)
        self.assertGreater(estimator.first_token_factor("u1", 5.0), 3.0)
        self.assertLess(estimator.first_token_factor("u1", 200.0), 1.1)

    def test_token_gap_factor_does_not_decay(self):
        """Guards against a full share of requests to an upstream with a high token gap."""
        estimator = SlownessEstimator()
        for _ in range(10):
            estimator.record_token_gap("u1", 0.01, 0.05)
        self.assertGreater(estimator.token_gap_factor("u1"), 4.5)
        estimator.remove_upstream("u1")
        self.assertEqual(estimator.token_gap_factor("u1"), 1.0)


class ModelQueueTest(unittest.TestCase):
    """Tests of the queue of a model."""

    def test_order_and_bound(self):
        """Guards against a wrong order of classes or deadlines, and an unbounded length."""
        queue = ModelQueue("m1", 2)
        late = Job(build_request("late"), 0.0, 9.0)
        soon = Job(build_request("soon"), 0.0, 1.0)
        patient = Job(build_request("patient", urgent=False), 0.0, 0.5)
        for job in (late, soon, patient):
            queue.push(job)
        self.assertIs(queue.peek(), soon)
        self.assertTrue(queue.is_full(True))
        self.assertFalse(queue.is_full(False))
        queue.remove(soon)
        queue.remove(late)
        self.assertIs(queue.peek(), patient)
        self.assertEqual(list(queue.pop_expired(0.6)), [patient])


class ResidencyViewTest(unittest.TestCase):
    """Tests of copies, versions and states."""

    def test_configured_version_is_preferred_and_others_are_a_fallback(self):
        """Guards against a version change that leaves a model without a copy."""
        view = ResidencyView(build_deployment())
        view.update("u1", (ResidentCopy("m1", "0"),), UpstreamState.LIVE)
        self.assertEqual([p.version for p in view.placements("m1")], ["0"])
        view.update("u2", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        self.assertEqual([p.upstream for p in view.placements("m1")], ["u2"])
        self.assertEqual([p.upstream for p in view.placements("m1", "0")], ["u1"])

    def test_placements_follow_each_change(self):
        """Guards against cached placements from before a copy was added or stopped serving."""
        view = ResidencyView(build_deployment())
        view.update("u1", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        self.assertEqual(len(view.placements("m1")), 1)
        view.update("u2", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        self.assertEqual(len(view.placements("m1")), 2)
        view.update("u1", (ResidentCopy("m1", "1", serving=False),), UpstreamState.LIVE)
        self.assertEqual([p.upstream for p in view.placements("m1")], ["u2"])
        view.update("u2", (ResidentCopy("m1", "1"),), UpstreamState.LEAVING)
        self.assertEqual(view.placements("m1"), ())

    def test_gone_upstream_is_removed(self):
        """Guards against placements on an upstream that no longer exists."""
        view = ResidencyView(build_deployment())
        view.update("u1", (ResidentCopy("m1", "1"),), UpstreamState.LIVE)
        view.update("u1", (), UpstreamState.GONE)
        self.assertEqual(view.placements("m1"), ())
        self.assertEqual(view.placements("a1"), ())


if __name__ == "__main__":
    unittest.main()
