"""Tests of the reading of fields."""

import math
import unittest

from .. import MALFORMED, MAX_COUNT, to_count, to_flag, to_number, to_text

NOT_NUMBERS = (
    None,
    "8",
    True,
    [],
    {},
    math.inf,
    -math.inf,
    math.nan,
    10**400,
    -(10**400),
    -1,
    1e300,
)


class FieldTest(unittest.TestCase):
    """Values of another type or out of range."""

    def test_numbers(self):
        """Guards against accepting, or an unexpected exception for, a number out of range."""
        for value in NOT_NUMBERS:
            for read in (to_number, to_count):
                with self.subTest(value=str(value)[:20], read=read), self.assertRaises(MALFORMED):
                    read(value)
        self.assertEqual((to_number(0.5), to_number(7)), (0.5, 7.0))

    def test_whole_numbers(self):
        """Guards against a fraction that is rounded to a count."""
        for value in (0.5, 6.1, MAX_COUNT + 1):
            with self.subTest(value=value), self.assertRaises(ValueError):
                to_count(value)
        self.assertEqual((to_count(6.0), to_count(MAX_COUNT)), (6, MAX_COUNT))
        self.assertIsInstance(to_count(6.0), int)

    def test_texts_and_flags(self):
        """Guards against texts that cannot be encoded, and against truth values of other types."""
        for value in (None, 3, b"x", ["x"], "\ud800"):
            with self.subTest(value=value), self.assertRaises((TypeError, ValueError)):
                to_text(value)
        for value in ("false", 0, None):
            with self.subTest(value=value), self.assertRaises(TypeError):
                to_flag(value)
