"""Tests of the report on delays of the event loop."""

import unittest

from structlog.testing import capture_logs

from ...eventloop import Work, WorkQueue
from ...logs.repeat_counter import LOG_INTERVAL_S
from ...metrics import Metrics
from ..loop_report import LoopReport


class LoopReportTest(unittest.TestCase):
    """A periodic timer that is late or in time."""

    def setUp(self):
        self.now = 0.0
        self.metrics, self.queue = Metrics(), WorkQueue()
        self.report = LoopReport(self.metrics, self.queue, lambda: self.now)

    def add_work(self, kind: str, peer: str, duration_s: float) -> None:
        self.queue.meter.add(Work(kind, lambda _limit: False, lambda: peer), duration_s)

    def record(self, *delays: float) -> list:
        """Record delays and return the log lines about them."""
        with capture_logs() as lines:
            for delay_s in delays:
                self.report.record(delay_s)
        return lines

    def test_delay_is_logged_with_its_cause(self):
        """Guards against a node that stands still without a trace of the peer that caused it."""
        self.add_work("caller", "10.0.0.1:5", 0.1)
        self.add_work("upstream", "10.0.0.2:80", 0.7)
        (line,) = self.record(0.8)
        self.assertEqual((line["delay_ms"], line["peer"]), (800, "10.0.0.2:80"))
        self.assertEqual(line["received_ms"], {"caller": 100, "upstream": 700})

    def test_work_before_a_timer_in_time_is_not_blamed(self):
        """Guards against blaming the peer of work that did not delay anything."""
        self.add_work("upstream", "10.0.0.2:80", 0.7)
        self.assertEqual(self.record(0.0), [])
        (line,) = self.record(0.8)
        self.assertEqual((line["received_ms"], line["peer"]), ({}, ""))

    def test_lines_are_limited_and_delays_are_not(self):
        """Guards against a log that fills while a node is overloaded, and lost counts."""
        self.assertEqual(len(self.record(0.8, 0.9, 1.0)), 1)
        self.now += LOG_INTERVAL_S
        (line,) = self.record(0.8)
        self.assertEqual(line["count"], 3)
        self.assertEqual(sum(self.metrics.histograms["loop_delay_seconds"].counts), 4)
