"""Tests of the rate limits of log lines and of the output to a slow reader."""

import os
import unittest

import structlog

from .. import BoundedLines
from ..volume import LogVolumeLimiter


class LogVolumeLimiterTest(unittest.TestCase):
    """Log lines under load, with a simulated clock."""

    def setUp(self):
        self.now = 0.0
        self.limiter = LogVolumeLimiter(lambda: self.now)

    def process(self, **event) -> dict | None:
        try:
            return self.limiter(None, "info", event)
        except structlog.DropEvent:
            return None

    def test_routine_lines_are_left_out_and_counted(self):
        """Guards against a log volume that grows with the load."""
        passed = sum(self.process(event="served", routine=True) is not None for _ in range(1000))
        self.assertLess(passed, 300)
        self.now = 1.0
        self.assertEqual(
            self.process(event="served", routine=True)["lines_left_out"], 1000 - passed
        )

    def test_refusals_are_not_limited_by_routine_lines(self):
        """Guards against losing the lines that explain a failure when routine lines are dropped."""
        for _ in range(1000):
            self.process(event="served", routine=True)
        refusals = [self.process(event="request refused") for _ in range(500)]
        self.assertTrue(all(refusals))


class BoundedLinesTest(unittest.TestCase):
    """A pipe whose reader has stopped."""

    def test_slow_reader_loses_lines_without_blocking(self):
        """Guards against a process that blocks while it writes its log."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = BoundedLines(writer)
        for _ in range(2000):
            stream.write("x" * 999 + "\n")
        self.assertGreater(stream.dropped, 1000)
        self.assertEqual(os.read(reader, 1000), b"x" * 999 + b"\n")

    def test_closed_reader_is_not_an_error(self):
        """Guards against a process that exits because the reader of its log has closed."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        os.close(reader)
        stream = BoundedLines(writer)
        stream.write("line\n")
        self.assertEqual(stream.dropped, 1)
