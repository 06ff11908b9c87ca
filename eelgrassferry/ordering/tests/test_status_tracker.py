"""Tests of the totals over all nodes."""

import unittest
from random import Random

from ...dispatch import UpstreamLoad
from .. import NodeStatus, PendingDemand
from ..status_tracker import StatusTracker


def make_status(node: str, rng: Random) -> NodeStatus:
    """Return a random status."""
    loads = {f"u{i}": UpstreamLoad(rng.randrange(1, 5), 100.0, {1: 0.25}) for i in range(3)}
    running = {(f"u{i}", "m0", ""): rng.randrange(1, 4) for i in range(3)}
    pending_demand = (PendingDemand("s", "m1", "a1", 2, 1.5),) if rng.random() < 0.5 else ()
    return NodeStatus(node, pending_demand=pending_demand, loads=loads, running=running)


class StatusTrackerTest(unittest.TestCase):
    """Totals that are updated incrementally."""

    def test_totals_match_the_last_statuses(self):
        """Guards against totals that drift as statuses are replaced."""
        rng, tracker, last = Random(7), StatusTracker(), {}
        for step in range(300):
            status = make_status(f"n{rng.randrange(6)}", rng)
            tracker.update(status, float(step))
            last[status.node] = status
        for instance in ("u0", "u1", "u2"):
            requests = sum(status.loads[instance].requests for status in last.values())
            self.assertEqual(tracker.loads[instance].requests, requests)
            runs = sum(status.running[instance, "m0", ""] for status in last.values())
            self.assertEqual(tracker.running[instance, "m0"], runs)
        waiting, adapters = tracker.pending_demand()
        wanting = sum(bool(status.pending_demand) for status in last.values())
        self.assertEqual(waiting.get("s", {}).get("m1", 0), 2 * wanting)
        self.assertEqual(bool(adapters), wanting > 0)

    def test_silent_node_is_removed(self):
        """Guards against counting requests of a node that has failed."""
        tracker = StatusTracker()
        tracker.update(make_status("n1", Random(1)), 0.0)
        tracker.expire(2.6)
        self.assertEqual((len(tracker), tracker.loads, tracker.running), (0, {}, {}))
