"""Tests of the budget of memory and connections."""

import unittest

from ..door_budget import SMALL_BYTES, DoorBudget
from ..door_limits import DoorLimits, split_connections, split_memory
from ..holding import HoldingState

LIMIT = 10 * SMALL_BYTES
LARGE = 6 * SMALL_BYTES
RECEIVING, RUNNING = HoldingState.RECEIVING, HoldingState.RUNNING


class DoorBudgetTest(unittest.TestCase):
    """Connections with given holdings."""

    def setUp(self):
        self.budget = DoorBudget(DoorLimits(LIMIT, connections=2))

    def hold(self, name, state, size, left=0, progress_at=0.0):
        holding = self.budget.open(name, progress_at)
        self.budget.update(holding, state, size, left, progress_at)
        return holding

    def choose(self, now=10.0):
        holding = self.budget.choose_over_memory(now)
        return holding and holding.owner

    def test_one_about_to_be_complete_is_kept(self):
        """Guards against ending an ordinary body for one that has just begun."""
        self.hold("ends", RECEIVING, LARGE, left=10, progress_at=10.0)
        self.hold("begins", RECEIVING, LARGE, left=1000, progress_at=10.0)
        self.assertEqual(self.choose(), "begins")

    def test_stalled_one_is_ended_first(self):
        """Guards against a crowd that keeps its bodies by stopping just short of their end."""
        self.hold("stalled", RECEIVING, LARGE, left=1, progress_at=5.0)
        self.hold("moves", RECEIVING, LARGE, left=1000, progress_at=10.0)
        self.assertEqual(self.choose(), "stalled")

    def test_request_in_progress_and_last_large_body_are_kept(self):
        """Guards against ending a connection that waits for the node, or a body that is alone."""
        self.hold("runs", RUNNING, LARGE)
        self.hold("alone", RECEIVING, LARGE)
        self.assertIsNone(self.choose())

    def test_small_request_runs_while_large_ones_are_refused(self):
        """Guards against a crowd of large requests that keeps ordinary ones from being served."""
        self.hold("first", RUNNING, LARGE)
        self.assertFalse(self.budget.may_run(self.hold("second", RUNNING, LARGE)))
        self.budget.limits = DoorLimits(2 * LARGE)
        self.assertTrue(self.budget.may_run(self.hold("small", RUNNING, 100)))

    def test_closed_connection_is_not_counted(self):
        """Guards against a budget that stays used up after the crowd has gone."""
        holding = self.hold("a", RECEIVING, LARGE)
        self.budget.close(holding)
        self.budget.update(holding, RECEIVING, 2 * LARGE, 0, 1.0)
        self.budget.close(holding)
        self.assertEqual(self.budget.bytes_held, 0)

    def test_idle_connection_makes_room(self):
        """Guards against idle connections that use up the descriptors."""
        self.hold("receives", RECEIVING, 10)
        self.assertTrue(self.budget.has_free_connection)
        self.hold("idle", HoldingState.IDLE, 0, progress_at=9.0)
        self.assertFalse(self.budget.has_free_connection)
        self.assertEqual(self.budget.choose_over_connections(10.0).owner, "idle")

    def test_connection_that_was_just_accepted_is_kept(self):
        """Guards against a crowd of stalled senders that keeps its connections, because each new
        caller is ended for the next one.
        """
        self.hold("stalled", RECEIVING, 10)
        self.hold("new", HoldingState.IDLE, 0, progress_at=10.0)
        self.assertEqual(self.budget.choose_over_connections(10.0).owner, "stalled")

    def test_nothing_is_limited_without_settings(self):
        """Guards against limits at deployments that set none."""
        self.assertEqual({*split_memory(0.0), *split_connections(0.0)}, {float("inf")})
