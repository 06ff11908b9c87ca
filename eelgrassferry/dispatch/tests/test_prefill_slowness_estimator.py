"""Tests of the prefill slowness estimates."""

import unittest

from .. import PrefillSlownessEstimator, SlownessFactors, SlownessSample


class PrefillSlownessEstimatorTest(unittest.TestCase):
    """Estimates from samples of one or two upstreams."""

    def test_simultaneous_samples_do_not_add_up(self):
        """Guards against a factor that overshoots because many attempts were sent before the first
        of them showed how slow the upstream is.
        """
        slowness = PrefillSlownessEstimator()
        for _ in range(200):
            slowness.record(SlownessSample("u1", "m1", 2.0))
        self.assertAlmostEqual(slowness.factor("u1", "m1"), 2.0, places=2)

    def test_sample_is_relative_to_the_factor_of_the_estimate(self):
        """Guards against a slow upstream that is classified as fast because its time matches an
        estimate that already included its slowness.
        """
        slowness = PrefillSlownessEstimator()
        sample = slowness.observe("u1", "m1", 3.0, expected_s=0.3, observed_s=0.6)
        self.assertEqual(sample, SlownessSample("u1", "m1", 6.0))

    def test_short_attempts_give_no_sample(self):
        """Guards against factors that follow the noise of the network."""
        self.assertIsNone(PrefillSlownessEstimator().observe("u1", "m1", 1.0, 0.02, 0.03))

    def test_only_changed_factors_are_sent(self):
        """Guards against views that repeat factors already sent to all nodes."""
        slowness = PrefillSlownessEstimator()
        slowness.update(SlownessFactors({"u1": 2.0, "u2": 1.05}, {"m1": 0.5}))
        changed = slowness.factors.changed_since(SlownessFactors({"u1": 1.95}), 0.1)
        self.assertEqual(changed, SlownessFactors({}, {"m1": 0.5}))

    def test_factor_of_a_stopped_upstream_is_removed(self):
        """Guards against tables that grow with each restart of an upstream."""
        sent = SlownessFactors({"u1": 2.0, "u2": 1.5})
        current = SlownessFactors({"u2": 1.8})
        self.assertEqual(sent.merged(SlownessFactors({"u2": 1.8}), current), current)
