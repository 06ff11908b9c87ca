"""Tests of who counts as gone."""

import unittest

from ...objects import Host, HostState
from ..writers import Writers


def host(name):
    """Return an entry of the host list."""
    return Host(name, "127.0.0.1:1", "node", "d1", HostState.LIVE)


class WritersTest(unittest.TestCase):
    """One process that judges others."""

    def test_gone_only_by_a_list_that_shows_this_host(self):
        """Guards against taking a live holder for gone because the list holds no nodes."""
        writers = Writers("n1:b")
        self.assertIsNone(writers.gone_since("n2:a"))
        writers.on_hosts([host("u1")], 1.0)
        self.assertIsNone(writers.gone_since("n2:a"))
        writers.on_hosts([host("n1"), host("n2")], 2.0)
        self.assertIsNone(writers.gone_since("n2:a"))
        writers.on_hosts([host("n1")], 3.0)
        self.assertEqual(writers.gone_since("n2:a"), 3.0)
        self.assertIsNone(writers.gone_since("n1:b"))
        writers.on_acknowledged(["n3:a"], 4.0)
        self.assertEqual(writers.gone_since("n3:a"), 4.0)
