"""Tests of the turns at which requests may be sent to upstreams that limit their rate."""

import unittest

from .. import TurnBook, TurnRequest


class TurnBookTest(unittest.TestCase):
    """Turns at one process with a limit of 4 requests a second."""

    def setUp(self):
        self.book = TurnBook(burst_s=1.0)

    def request(self, count: int, max_wait_s: float, now: float):
        return self.book.book(TurnRequest("u1/5", count, max_wait_s), 4.0, now)

    def test_turns_are_apart(self):
        """Guards against a violation of LIMIT: turns of several nodes at the same time."""
        first, second = (self.request(2, 1.0, 10.0) for _ in range(2))
        self.assertEqual((*first.turns, *second.turns), (10.0, 10.25, 10.5, 10.75))
        self.assertEqual(second.next_at, 11.0)

    def test_turns_after_the_longest_wait_are_not_booked(self):
        """Guards against turns that are of no use when they come, and against a node that has to
        guess when it can be served.
        """
        reply = self.request(9, 0.3, 10.0)
        self.assertEqual((reply.turns, reply.next_at, reply.count), ((10.0, 10.25), 10.5, 9))
        self.assertEqual(self.request(1, 0.3, 10.1).turns, ())

    def test_unused_turns_of_the_last_second_are_caught_up_on(self):
        """Guards against an idle upstream that takes a burst of requests one after the other, and
        against a burst after a long idle time that breaks the limit.
        """
        self.request(1, 0.0, 10.0)
        self.assertEqual(self.request(9, 0.0, 60.0).turns, (60.0,) * 5)

    def test_first_turns_are_not_caught_up_on(self):
        """Guards against a new coordinator that books the turns of its predecessor again."""
        self.assertEqual(self.request(9, 0.0, 60.0).turns, (60.0,))

    def test_processes_are_independent(self):
        """Guards against one upstream's requests that delay those to another one."""
        self.request(4, 1.0, 10.0)
        other = self.book.book(TurnRequest("u2/5", 1, 0.0), 4.0, 10.0)
        self.assertEqual(other.turns, (10.0,))
