"""Tests of what is learned of upstreams' paces."""

import unittest

from .. import PaceBook, PaceFactors, PaceSeen


class PaceBookTest(unittest.TestCase):
    """One book."""

    def test_observations_of_one_moment_do_not_add_up(self):
        """Guards against a pace that overshoots: many runs were sent before the first of them has
        shown how slow the upstream is.
        """
        pace = PaceBook()
        for _ in range(200):
            pace.note(PaceSeen("u1", "m1", 2.0))
        self.assertAlmostEqual(pace.factor("u1", "m1"), 2.0, places=2)

    def test_observation_counts_against_the_pace_that_was_assumed(self):
        """Guards against an upstream that is taken for fast because it kept to a slow estimate."""
        pace = PaceBook()
        seen = pace.observe("u1", "m1", 3.0, expected_s=0.3, observed_s=0.6)
        self.assertEqual(seen, PaceSeen("u1", "m1", 6.0))

    def test_short_runs_say_nothing(self):
        """Guards against paces that follow the noise of the network."""
        self.assertIsNone(PaceBook().observe("u1", "m1", 1.0, 0.02, 0.03))

    def test_only_what_has_changed_is_told(self):
        """Guards against views that repeat what all nodes know."""
        pace = PaceBook()
        pace.take(PaceFactors({"u1": 2.0, "u2": 1.05}, {"m1": 0.5}))
        news = pace.factors.changed_since(PaceFactors({"u1": 1.95}), 0.1)
        self.assertEqual(news, PaceFactors({}, {"m1": 0.5}))

    def test_upstream_that_has_ended_is_not_kept(self):
        """Guards against tables that grow with each restart of an upstream."""
        told = PaceFactors({"u1": 2.0, "u2": 1.5})
        known = PaceFactors({"u2": 1.8})
        self.assertEqual(told.updated(PaceFactors({"u2": 1.8}), known), known)
