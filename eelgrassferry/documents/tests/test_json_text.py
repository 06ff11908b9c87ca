"""Tests of the parsing of texts that contain documents of several writers."""

import json
import math
import unittest

from .. import parse_json
from ..json_text import MAX_DEPTH


class UnreadablePartTest(unittest.TestCase):
    """A listing in which one document cannot be read."""

    def check(self, unreadable: bytes) -> object:
        """Check that the other documents of a listing are read, and return the unreadable one."""
        listing = parse_json(b'{"items": [{"a": "x[{\\""}, ' + unreadable + b', {"b": [2]}]}')
        first, middle, last = listing["items"]
        self.assertEqual((first, last), ({"a": 'x[{"'}, {"b": [2]}))
        return middle

    def test_deeply_nested_values(self):
        """Guards against losing the whole listing to one deeply nested document."""
        for opening, closing in ((b"[", b"]"), (b'{"k":', b"}")):
            with self.subTest(opening=opening):
                self.check(opening * 100_000 + b"1" + closing * 100_000)
        depth = MAX_DEPTH - 10
        self.assertEqual(
            self.check(b"[" * depth + b"]" * depth), json.loads("[" * depth + "]" * depth)
        )

    def test_long_integers(self):
        """Guards against losing the whole listing to one integer of thousands of digits."""
        self.assertEqual(self.check(b"9" * 6000), math.inf)
        self.assertEqual(self.check(b"-" + b"9" * 6000), -math.inf)

    def test_bytes_that_are_not_text(self):
        """Guards against losing the whole listing to one text that is not UTF-8."""
        self.assertEqual(self.check(b'"\xff"'), "\ufffd")

    def test_texts_that_are_not_json(self):
        """Guards against another exception than ValueError for a text that is no JSON."""
        for text in (b"", b"[", b"]", b"{" * 5000, b"[" * 5000 + b"]" * 4999, b'["', b"nul"):
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                parse_json(text)
