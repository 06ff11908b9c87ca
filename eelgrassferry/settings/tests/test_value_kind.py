"""Tests of parsing and formatting of single values."""

import unittest

from hypothesis import given, seed
from hypothesis import strategies as st
from result import Err, Ok

from ..value_kind import ValueKind, format_value, parse_value

NUMBERS = st.decimals("0.000001", "2000000000", places=6)
QUANTITIES = (
    (ValueKind.DURATION, ("ms", "s", "min", "h")),
    (ValueKind.RATE, ("/s",)),
    (ValueKind.TOKEN_RATE, ("tokens/s",)),
    (ValueKind.NUMBER, ("",)),
)


class ValueKindTest(unittest.TestCase):
    """Round trips and invalid texts."""

    @seed(7)
    @given(NUMBERS, st.sampled_from(QUANTITIES), st.data())
    def test_formatted_value_is_parsed_to_the_same_value(self, number, quantity, data):
        """Guards against a formatted value that is rounded or that can't be parsed."""
        kind, units = quantity
        text = f"{number:f} {data.draw(st.sampled_from(units))}".strip()
        match parse_value(kind, text):
            case Ok(value):
                self.assertEqual(parse_value(kind, format_value(kind, value)), Ok(value))
            case Err(message):
                self.assertIn("too large", message)

    @seed(7)
    @given(st.sampled_from(ValueKind), st.text(max_size=20))
    def test_any_text_is_parsed_or_refused(self, kind, text):
        """Guards against a text that raises an exception instead of returning an error."""
        parse_value(kind, text)

    def test_unit_must_follow_the_number(self):
        """Guards against an invalid number or unit that is accepted."""
        for text in ("1e3 s", "1 S", "1 2 s", "1", "s", "1.s", "1,5 s", "inf s", "nan s", "1 us"):
            self.assertTrue(parse_value(ValueKind.DURATION, text).is_err(), text)
