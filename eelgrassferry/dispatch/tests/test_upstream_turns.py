"""Tests of nodes that share an upstream's limit, in virtual time."""

import unittest
from random import Random

from ...fleet import UpstreamNotice
from .. import TurnBook, UpstreamNotices
from ..upstream_turns import MAX_AHEAD_S, UpstreamTurns

PROCESS = "u1/5"
STEP_S = 0.01
# The rule: in no 4 s does an upstream get more than one and a half times what its limit allows, and
# 5 requests more.
WINDOW_S = 4.0


class SharedLimit:
    """Nodes that want to send requests to one upstream all the time, and their coordinator.

    ``linked`` are the numbers of the nodes in contact with the coordinator. Messages take one step.
    """

    def __init__(self, nodes: int, limit_per_s: float, seed: int = 1) -> None:
        self.now = 100.0
        self.limit_per_s = limit_per_s
        self.notices = UpstreamNotices()
        self.notices.record(PROCESS, UpstreamNotice(limit_per_s=limit_per_s), self.now)
        self.rng = Random(seed)
        self.nodes: list[UpstreamTurns] = []
        self.linked: set[int] = set()
        self.book: TurnBook | None = TurnBook()
        self.sent: list[float] = []
        for _ in range(nodes):
            self.add_node()

    def add_node(self) -> None:
        """Add a node that is in contact with the coordinator."""
        self.linked.add(len(self.nodes))
        self.nodes.append(UpstreamTurns(self.notices, Random(self.rng.random())))
        for node in self.nodes:
            node.node_count = len(self.nodes)

    def run(self, seconds: float, per_s: float = 200.0) -> None:
        """Let requests arrive at random nodes at a rate; each waits for its turn, or gives up."""
        waiting: list[list[float]] = [[] for _ in self.nodes]
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for _ in range(int(per_s * STEP_S + self.rng.random())):
                waiting[self.rng.randrange(len(self.nodes))].append(self.now + MAX_AHEAD_S)
            for number, node in enumerate(self.nodes):
                waiting[number] = self.step(number, node, waiting[number])

    def step(self, number: int, node: UpstreamTurns, waiting: list[float]) -> list[float]:
        """Send what may be sent, ask for turns, and return the requests that go on waiting."""
        node.clear_wanted()
        remaining = []
        for until in waiting:
            wait_s = node.wait_s(PROCESS, self.now)
            if wait_s == 0.0:
                node.take(PROCESS)
                self.sent.append(self.now)
            elif self.now + wait_s <= until:
                node.want(PROCESS, until - self.now)
                remaining.append(until)
        has_coordinator = self.book is not None and number in self.linked
        requests = node.pop_requests(self.now, has_coordinator)
        if self.book is not None:
            share = len(self.linked) / len(self.nodes)
            rate = share * self.limit_per_s
            node.apply([self.book.book(request, rate, self.now) for request in requests])
        return remaining

    @property
    def most_in_window(self) -> int:
        """The largest number of requests in 4 s."""
        return max(
            sum(at <= other < at + WINDOW_S for other in self.sent[first : first + 2000])
            for first, at in enumerate(self.sent)
        )

    @property
    def allowed(self) -> float:
        """The number of requests that the rule allows in 4 s."""
        return 1.5 * WINDOW_S * self.limit_per_s + 5


class SharedLimitTest(unittest.TestCase):
    """Nodes that together want far more than an upstream takes."""

    def check(self, fleet: SharedLimit) -> None:
        self.assertLessEqual(fleet.most_in_window, fleet.allowed)

    def test_all_nodes_together_keep_and_use_the_limit(self):
        """Guards against a violation of LIMIT, and against nodes that use a part of it only: with
        seven nodes, each one's share of such limits is less than a request in some seconds.
        """
        for limit_per_s in (0.5, 1.3, 2.5, 7.2, 40.0):
            for nodes in (1, 7, 60):
                with self.subTest(limit_per_s=limit_per_s, nodes=nodes):
                    fleet = SharedLimit(nodes, limit_per_s)
                    fleet.run(20.0)
                    self.check(fleet)
                    self.assertGreaterEqual(len(fleet.sent), 0.8 * 20.0 * limit_per_s)

    def test_coordinator_is_lost_and_another_one_follows(self):
        """Guards against a violation of LIMIT when all nodes book their shares at the same time,
        and when a successor books what its predecessor has booked.
        """
        for seed in range(5):
            for limit_per_s in (1.3, 2.5, 7.2):
                with self.subTest(limit_per_s=limit_per_s, seed=seed):
                    fleet = SharedLimit(7, limit_per_s, seed)
                    fleet.run(5.0)
                    fleet.book = None
                    fleet.run(6.0)
                    before = len(fleet.sent)
                    fleet.run(4.0)
                    self.assertGreater(len(fleet.sent), before)
                    fleet.book = TurnBook()
                    fleet.run(5.0)
                    self.check(fleet)

    def test_coordinators_follow_each_other_quickly(self):
        """Guards against a violation of LIMIT by the first turns of each of several terms."""
        fleet = SharedLimit(7, 2.5)
        for _ in range(10):
            fleet.run(0.8)
            fleet.book = TurnBook()
        self.check(fleet)

    def test_hundreds_of_nodes_lose_their_coordinator(self):
        """Guards against a violation of LIMIT if each node begins with one request."""
        fleet = SharedLimit(195, 2.5)
        fleet.run(3.0)
        fleet.book = None
        fleet.run(8.0)
        self.check(fleet)

    def test_node_is_cut_off(self):
        """Guards against a violation of LIMIT by nodes without contact to the coordinator, and
        against such nodes that send nothing.
        """
        for cut in (1, 3, 6):
            with self.subTest(cut=cut):
                fleet = SharedLimit(7, 2.5)
                fleet.run(4.0)
                fleet.linked -= set(range(cut))
                before = len(fleet.sent)
                fleet.run(12.0)
                self.check(fleet)
                self.assertGreaterEqual(len(fleet.sent) - before, 0.6 * 12.0 * 2.5)

    def test_node_joins(self):
        """Guards against a violation of LIMIT by a node that has just started."""
        fleet = SharedLimit(3, 2.5)
        for _ in range(8):
            fleet.run(1.0)
            fleet.add_node()
        self.check(fleet)


class TurnsOfOneNodeTest(unittest.TestCase):
    """One node and a process that limits its rate to 2 requests a second."""

    def setUp(self):
        self.notices = UpstreamNotices()
        self.turns = UpstreamTurns(self.notices, Random(1))
        self.name_limit(2.0, 0.0)

    def name_limit(self, limit_per_s, now):
        self.notices.record(PROCESS, UpstreamNotice(limit_per_s=limit_per_s), now)

    def reply(self, now):
        """Have the coordinator answer the requests for turns."""
        requests = self.turns.pop_requests(now, has_coordinator=True)
        book = TurnBook(burst_s=0.0)
        self.turns.apply([book.book(request, 2.0, now) for request in requests])
        return sum(request.count for request in requests)

    def test_process_without_a_limit_takes_requests_at_once(self):
        """Guards against a wait after a limit has ended, and for upstreams that name none."""
        self.assertEqual(self.turns.wait_s("u2/1", 0.0), 0.0)
        self.assertGreater(self.turns.wait_s(PROCESS, 0.0), 0.0)
        self.name_limit(None, 1.0)
        self.assertEqual(self.turns.wait_s(PROCESS, 1.0), 0.0)

    def test_one_turn_is_requested_for_each_waiting_request(self):
        """Guards against requests for the same turns again and again."""
        for _ in range(2):
            self.turns.want(PROCESS, 5.0)
        self.assertEqual(self.reply(0.0), 2)
        self.turns.clear_wanted()
        self.turns.want(PROCESS, 5.0)
        self.assertEqual(self.reply(0.1), 0)

    def test_known_wait_is_not_asked_for_again(self):
        """Guards against a message for each request that cannot be sent in time anyway."""
        self.turns.want(PROCESS, 0.4)
        self.turns.want(PROCESS, 0.4)
        self.assertEqual(self.reply(0.0), 2)
        self.turns.take(PROCESS)
        self.assertAlmostEqual(self.turns.wait_s(PROCESS, 0.05), 0.45)
        self.turns.clear_wanted()
        self.turns.want(PROCESS, 0.4)
        self.assertEqual(self.reply(0.05), 0)
        self.turns.clear_wanted()
        self.turns.want(PROCESS, 0.4)
        self.assertEqual(self.reply(0.3), 1)

    def test_turn_that_is_not_used_is_given_up(self):
        """Guards against turns that are saved up and then used at once."""
        self.turns.want(PROCESS, 0.4)
        self.reply(0.0)
        self.turns.clear_wanted()
        self.assertEqual(self.turns.wait_s(PROCESS, 0.3), 0.0)
        self.assertGreater(self.turns.wait_s(PROCESS, 0.6), 0.0)

    def test_request_without_a_reply_is_given_up(self):
        """Guards against requests that wait for a coordinator which does not answer."""
        self.turns.want(PROCESS, 0.4)
        self.assertEqual(len(self.turns.pop_requests(0.0, has_coordinator=True)), 1)
        self.assertEqual(self.turns.pop_requests(0.1, has_coordinator=True), [])
        for step in range(20):
            now = 0.3 + 0.05 * step
            self.turns.clear_wanted()
            if self.turns.wait_s(PROCESS, now) == 0.0:
                return
            self.turns.want(PROCESS, 0.4)
            self.turns.pop_requests(now, has_coordinator=True)
        self.fail("no turn within a second")

    def test_restart_ends_the_turns(self):
        """Guards against a restarted upstream that is held to what its predecessor has named."""
        self.turns.want(PROCESS, 0.4)
        self.reply(0.0)
        self.turns.clear_wanted()
        self.assertEqual(self.turns.wait_s(PROCESS, 0.0), 0.0)
        self.turns.forget("u1")
        self.assertGreater(self.turns.wait_s(PROCESS, 0.0), 0.0)
        self.assertEqual(self.turns.wait_s("u1/9", 0.0), 0.0)
