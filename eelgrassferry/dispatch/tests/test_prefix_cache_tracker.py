"""Tests of the prompt parts that a node expects in the caches of upstreams."""

import unittest
from unittest import mock

from ..prefix_cache_tracker import PrefixCacheTracker

CACHE_TOKENS = 100_000


@mock.patch("eelgrassferry.dispatch.prefix_cache_tracker.MAX_PARTS", 100)
class MemoryTest(unittest.TestCase):
    """Requests that name very many parts of few or no tokens."""

    def setUp(self):
        self.tracker = PrefixCacheTracker()

    def record(self, instance: str, parts: range, tokens: int = 0) -> None:
        prompt = tuple((f"p{number}", tokens) for number in (*parts, parts.stop))
        self.tracker.record_prompt(instance, "m", "", prompt, CACHE_TOKENS)

    def cached(self, instance: str, number: int) -> bool:
        """Return whether a part is expected at an upstream, where each has ten tokens."""
        return self.tracker.cached_tokens(instance, "m", "", ((f"p{number}", 10),)) == 10

    def test_parts_without_tokens_are_bounded(self):
        """Guards against a process that outgrows its memory because of one client (review case 7),
        and against work on each request that grows with what came before.
        """
        for number in range(50):
            self.record("u1", range(number * 40, number * 40 + 40))
        self.assertEqual(len(self.tracker._cached_parts["u1"]), 100)
        self.assertTrue(self.cached("u1", 1999))
        self.assertFalse(self.cached("u1", 0))

    def test_upstream_with_most_parts_loses_some(self):
        """Guards against a client that makes a node forget the parts of ordinary requests."""
        self.record("u1", range(3), tokens=500)
        self.record("u2", range(500))
        self.assertTrue(self.cached("u1", 0))
        self.assertEqual(len(self.tracker._cached_parts["u2"]), 97)

    def test_count_follows_what_is_forgotten(self):
        """Guards against a bound that tightens with each restart of an upstream."""
        for _ in range(10):
            self.record("u1", range(60))
            self.tracker.forget("u1")
            self.record("u2", range(60))
            self.tracker.forget_model("u2", "m")
        self.assertEqual(self.tracker._part_count, 0)
        self.record("u1", range(100))
        self.assertTrue(self.cached("u1", 0))
