"""Tests of the signal handling of a process that starts."""

import signal
import unittest
from unittest import mock

from ...__main__ import run


class StartTest(unittest.TestCase):
    """The disposition of SIGHUP when a command starts."""

    def setUp(self):
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        signal.signal(signal.SIGHUP, signal.SIG_DFL)

    def get_handler_in_command(self, command):
        handlers = []
        with mock.patch(
            "eelgrassferry.cli.main", lambda: handlers.append(self.get_sighup_handler()) or 0
        ):
            self.assertEqual(run(command), 0)
        return handlers[0]

    def get_sighup_handler(self):
        return signal.getsignal(signal.SIGHUP)

    def test_reload_signal_does_not_end_a_starting_node(self):
        """Guards against a change of the settings that ends a node while it starts (soak seed 7).

        SIGHUP requests a reload of the settings, but it ends a process by default.
        """
        self.assertIs(self.get_handler_in_command("entry"), signal.SIG_IGN)

    def test_other_commands_end_when_the_terminal_closes(self):
        """Guards against commands that continue to run after their terminal was closed."""
        self.assertIs(self.get_handler_in_command("status"), signal.SIG_DFL)
