"""Tests of what is learned of the gaps of streams."""

import unittest

from ..gap_book import KEPT_STREAMS, GapBook


class GapBookTest(unittest.TestCase):
    """One book."""

    def test_share_of_the_streams_beyond_the_target(self):
        """Guards against a risk that does not grow with an upstream's slowness."""
        book = GapBook()
        for number in range(100):
            book.note(number / 250.0, 1.0, 300)
        self.assertAlmostEqual(book.chance(1.0, 300, 0.3), 0.24)
        self.assertAlmostEqual(book.chance(2.0, 300, 0.3), 0.62)

    def test_old_streams_are_forgotten(self):
        """Guards against a risk that stays after the load has gone."""
        book = GapBook()
        for gap_s in [1.0] * KEPT_STREAMS + [0.01] * KEPT_STREAMS:
            book.note(gap_s, 1.0, 300)
        self.assertEqual(book.chance(1.0, 300, 0.3), 0.0)
        self.assertEqual(len(book._sorted), KEPT_STREAMS)

    def test_nothing_is_concluded_from_few_or_short_streams(self):
        """Guards against engines that are avoided because of one stream."""
        book = GapBook()
        book.note(1.0, 1.0, 300)
        for _ in range(50):
            book.note(1.0, 1.0, 50)
        self.assertEqual(book.chance(1.0, 300, 0.3), 0.0)
