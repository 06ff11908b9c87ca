"""Tests of the bounds of the log."""

import os
import unittest

import structlog

from .. import BoundedLines
from ..volume import RoutineLimit


class RoutineLimitTest(unittest.TestCase):
    """Lines under load, on a clock that the test moves."""

    def setUp(self):
        self.now = 0.0
        self.limit = RoutineLimit(lambda: self.now)

    def passes(self, **event) -> dict | None:
        try:
            return self.limit(None, "info", event)
        except structlog.DropEvent:
            return None

    def test_routine_lines_are_left_out_and_counted(self):
        """Guards against a log that grows with the load."""
        passed = sum(self.passes(event="served", routine=True) is not None for _ in range(1000))
        self.assertLess(passed, 300)
        self.now = 1.0
        self.assertEqual(self.passes(event="served", routine=True)["lines_left_out"], 1000 - passed)

    def test_refusals_pass_beside_routine_lines(self):
        """Guards against losing the lines that explain a failure."""
        for _ in range(1000):
            self.passes(event="served", routine=True)
        refusals = [self.passes(event="request refused") for _ in range(500)]
        self.assertTrue(all(refusals))


class BoundedLinesTest(unittest.TestCase):
    """A pipe whose reader has stopped."""

    def test_slow_reader_costs_lines_and_never_time(self):
        """Guards against a process that waits for its log."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        lines = BoundedLines(writer)
        for _ in range(2000):
            lines.write("x" * 999 + "\n")
        self.assertGreater(lines.dropped, 1000)
        self.assertEqual(os.read(reader, 1000), b"x" * 999 + b"\n")

    def test_reader_that_is_gone_is_no_error(self):
        """Guards against a process that ends because nobody reads its log."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        lines = BoundedLines(writer)
        lines.write("line\n")
        self.assertEqual(lines.dropped, 1)
