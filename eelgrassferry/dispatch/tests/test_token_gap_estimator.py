"""Tests of the estimated probability of long token gaps."""

import unittest

from ..token_gap_estimator import MAX_STREAMS, TokenGapEstimator


class TokenGapEstimatorTest(unittest.TestCase):
    """Estimates from streams of known gaps."""

    def test_share_of_the_streams_beyond_the_target(self):
        """Guards against a probability that does not grow with the slowness of an upstream."""
        estimator = TokenGapEstimator()
        for number in range(100):
            estimator.record(number / 250.0, 1.0, 300)
        self.assertAlmostEqual(estimator.late_probability(1.0, 300, 0.3), 0.24)
        self.assertAlmostEqual(estimator.late_probability(2.0, 300, 0.3), 0.62)

    def test_old_streams_are_evicted(self):
        """Guards against a probability that stays high after the load has dropped."""
        estimator = TokenGapEstimator()
        for gap_s in [1.0] * MAX_STREAMS + [0.01] * MAX_STREAMS:
            estimator.record(gap_s, 1.0, 300)
        self.assertEqual(estimator.late_probability(1.0, 300, 0.3), 0.0)
        self.assertEqual(len(estimator._sorted), MAX_STREAMS)

    def test_few_or_short_streams_give_no_estimate(self):
        """Guards against engines that are avoided because of a single stream."""
        estimator = TokenGapEstimator()
        estimator.record(1.0, 1.0, 300)
        for _ in range(50):
            estimator.record(1.0, 1.0, 50)
        self.assertEqual(estimator.late_probability(1.0, 300, 0.3), 0.0)
