"""Tests of the exchange on quotas between nodes, with links that deliver at once."""

import unittest

from ...fleet import QuotaUnit, ServiceBounds, Tenant
from ...peers.frame import Frame
from ...tenants import Admitted, Deferred, OverQuota
from ..quota_exchange import HEARD_WITHIN_S, QuotaExchange

TENANTS = {"press": Tenant("press", ("k",), None, 1000.0, 1000.0, QuotaUnit.TOKENS)}


class FakeLink:
    """A link whose frames are passed to ``deliver``."""

    def __init__(self, peer, deliver):
        self.peer = peer
        self.deliver = deliver

    def send(self, kind, body):
        self.deliver(Frame(kind, body))


class QuotaExchangeTest(unittest.TestCase):
    """Two nodes, of which the first can be the coordinator."""

    def setUp(self):
        self.now = 100.0
        self.epoch = 1
        self.registered = 2
        self.decisions = []
        self.first, self.second = (self.make_exchange(number) for number in (0, 1))
        self.to_second = FakeLink("n1", self.second.on_leader_frame)
        self.to_first = FakeLink(
            "n0", lambda frame: self.first.on_member_frame(self.to_second, frame)
        )
        self.second.on_decisions = self.decisions.extend

    def make_exchange(self, number: int) -> QuotaExchange:
        exchange = QuotaExchange(
            ServiceBounds(),
            lambda: self.now,
            lambda: self.epoch if number == 0 else None,
            lambda: self.registered,
        )
        exchange.set_tenants(TENANTS)
        return exchange

    def run_for(self, seconds: float, is_heard: bool = True) -> None:
        """Let views, statuses and reports be exchanged."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.first.record_view()
            if is_heard:
                self.second.record_view()
                self.first.record_status(self.to_second)
            self.second.step()
            self.first.step()

    def test_node_that_has_not_read_the_registry(self):
        """Guards against a node that has just started, knows no other node and therefore uses the
        whole quota.
        """
        self.registered = 0
        self.second.step()
        self.now += 2.0
        decision = self.second.gate.admit("press", 1000.0, 0.1, self.now)
        self.assertIsInstance(decision, OverQuota)

    def test_open_after_a_while(self):
        """Guards against nodes that have to ask although nothing is used, and against a term whose
        book grants at once what its predecessor may have granted.
        """
        self.second.follow(self.to_first)
        self.run_for(0.3)
        self.assertIsInstance(self.second.gate.admit("press", 100.0, 0.1, self.now), Deferred)
        self.run_for(4.0)
        self.assertEqual(self.decisions[0][1], Admitted("press", 100.0))
        decision = self.second.gate.admit("press", 100.0, 0.1, self.now)
        self.assertEqual(decision, Admitted("press", 100.0))

    def test_flood_closes_the_tenant(self):
        """Guards against a node that goes on to admit alone after others have used the quota."""
        self.second.follow(self.to_first)
        self.run_for(5.0)
        self.assertEqual(
            self.first.gate.admit("press", 1100.0, 0.1, self.now), Admitted("press", 1100.0)
        )
        self.run_for(0.4)
        for _ in range(4):
            decision = self.second.gate.admit("press", 400.0, 0.0, self.now)
            self.assertIsInstance(decision, Deferred)
        self.run_for(0.2)
        kinds = [type(decision) for _, decision in self.decisions]
        self.assertEqual(kinds, [Admitted, OverQuota, OverQuota, OverQuota])

    def test_node_that_is_not_heard(self):
        """Guards against a coordinator that grants the share of a node that uses it alone."""
        self.second.follow(self.to_first)
        self.run_for(1.0)
        self.assertEqual(self.first._share(self.now), 1.0)
        self.run_for(HEARD_WITHIN_S + 0.2, is_heard=False)
        self.assertEqual(self.first._share(self.now), 0.5)

    def test_malformed_frames(self):
        """Guards against a message that ends a link or a node's other work."""
        self.first.on_member_frame(self.to_second, Frame("quotas", {"spent": 1}))
        self.second.on_leader_frame(Frame("quotas", [1]))


if __name__ == "__main__":
    unittest.main()
