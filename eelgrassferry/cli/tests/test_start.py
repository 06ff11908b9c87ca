"""Tests of the first moments of a process."""

import signal
import unittest
from unittest import mock

from ...__main__ import run


class StartTest(unittest.TestCase):
    """What the process does before its command runs."""

    def setUp(self):
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        signal.signal(signal.SIGHUP, signal.SIG_DFL)

    def handler_in(self, command):
        seen = []
        with mock.patch("eelgrassferry.cli.main", lambda: seen.append(self.handler()) or 0):
            self.assertEqual(run(command), 0)
        return seen[0]

    def handler(self):
        return signal.getsignal(signal.SIGHUP)

    def test_reload_does_not_end_a_node_that_starts(self):
        """Guards against a change of the settings that ends a node as it starts (soak seed 7)."""
        self.assertIs(self.handler_in("entry"), signal.SIG_IGN)

    def test_other_commands_end_with_their_terminal(self):
        """Guards against commands that go on after their terminal was closed."""
        self.assertIs(self.handler_in("status"), signal.SIG_DFL)
