"""Tests of the detection of stopped writers."""

import unittest

from ...objects import Host, HostState
from ..writer_tracker import WriterTracker


def host(name):
    """Return an entry of the host list."""
    return Host(name, "127.0.0.1:1", "node", "d1", HostState.LIVE)


class WriterTrackerTest(unittest.TestCase):
    """Writer tracker of one process."""

    def test_gone_only_by_a_list_that_shows_this_host(self):
        """Guards against treating a live holder as stopped because the list contains no nodes."""
        writers = WriterTracker("n1:b")
        self.assertIsNone(writers.stopped_since("n2:a"))
        writers.on_hosts([host("u1")], 1.0)
        self.assertIsNone(writers.stopped_since("n2:a"))
        writers.on_hosts([host("n1"), host("n2")], 2.0)
        self.assertIsNone(writers.stopped_since("n2:a"))
        writers.on_hosts([host("n1")], 3.0)
        self.assertEqual(writers.stopped_since("n2:a"), 3.0)
        self.assertIsNone(writers.stopped_since("n1:b"))
        writers.on_instances_retired(["n3:a"], 4.0)
        self.assertEqual(writers.stopped_since("n3:a"), 4.0)
