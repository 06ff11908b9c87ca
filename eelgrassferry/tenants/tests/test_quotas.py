"""Tests of quotas over all nodes together, in virtual time."""

import unittest
from dataclasses import replace

from ...fleet import ServiceBounds, Tenant
from .. import (
    Admitted,
    OverQuota,
    QuotaAsk,
    QuotaBook,
    QuotaGrant,
    QuotaReply,
    QuotaReport,
)
from .fixtures import QuotaFleet, make_tenants

NODES = 83
FLOODS = ("t0", "t2")


class QuotaTest(unittest.TestCase):
    """A fleet in calm, whose tenants use 0.55 of their rates."""

    def setUp(self):
        self.fleet = QuotaFleet(NODES, make_tenants(480_000.0, 120_000.0, 29_000.0))
        self.fleet.elect()
        self.fleet.run(10.0)
        self.fleet.clear()

    def flood(self, factor: float = 10.0) -> None:
        """Multiply the demand of the largest and the smallest tenant."""
        for name in FLOODS:
            self.fleet.demand[name] *= factor

    def assert_within_quotas(self) -> None:
        """Assert that no window of any tenant contains more than is allowed."""
        for name in self.fleet.tenants:
            self.assertLessEqual(self.fleet.worst_window(name), 1.0, name)


class CalmTest(QuotaTest):
    """The coordinator is in touch with all nodes."""

    def test_nothing_under_the_limit_is_refused(self):
        """Guards against refusals of what tenants may use, and against waits in calm."""
        self.fleet.run(20.0)
        self.assertEqual(sum(self.fleet.refused.values()), 0)
        self.assertLess(sum(self.fleet.waits) / len(self.fleet.waits), 0.005)

    def test_most_of_a_limit_can_be_used(self):
        """Guards against a limit of which tenants can use a part only."""
        for name, tenant in self.fleet.tenants.items():
            self.fleet.demand[name] = 0.9 * tenant.rate_per_s
        self.fleet.run(20.0)
        for name in self.fleet.tenants:
            self.assertGreater(self.fleet.served_share(name), 0.95, name)

    def test_flood(self):
        """Guards against a violation of QUOTA by a tenant at ten times its usual demand, and
        against losses of this tenant under its limit and of the others.
        """
        self.flood()
        self.fleet.run(12.0)
        self.assert_within_quotas()
        for name in FLOODS:
            self.assertGreater(self.fleet.used_share(name, 8.0), 0.9, name)
        self.assertEqual(self.fleet.served_share("t1"), 1.0)

    def test_large_requests_are_not_starved(self):
        """Guards against small requests that take all of a limit."""
        self.flood()
        self.fleet.run(12.0)
        ran = [units for at, units in self.fleet.ran["t0"] if at > self.fleet.now - 8.0]
        self.assertGreater(ran.count(9250.0) / ran.count(200.0), 0.8)

    def test_requests_that_do_not_run_are_given_back(self):
        """Guards against quota that is used up by requests that the upstreams decline."""
        self.fleet.not_run_share = 0.5
        self.flood()
        self.fleet.run(12.0)
        self.assert_within_quotas()
        self.assertGreater(self.fleet.used_share("t0", 8.0), 0.85)

    def test_lower_limit(self):
        """Guards against a lower limit that does not bind one window after it is applied."""
        self.flood()
        lower = {
            name: replace(tenant, rate_per_s=0.4 * tenant.rate_per_s, burst=0.4 * tenant.burst)
            for name, tenant in self.fleet.tenants.items()
        }
        self.fleet.run(4.0)
        self.fleet.set_tenants(lower)
        self.fleet.run(1.0)
        self.fleet.ran.clear()
        self.fleet.run(10.0)
        self.assert_within_quotas()
        self.assertGreater(self.fleet.used_share("t0", 8.0), 0.9)

    def test_request_that_can_never_run(self):
        """Guards against one request that is larger than a window allows."""
        decision = self.fleet.gates[0].admit("t2", 400_000.0, 0.1, self.fleet.now)
        self.assertEqual(decision, OverQuota("t2", None))

    def test_tenant_without_a_quota(self):
        """Guards against limits for tenants that have none."""
        decision = self.fleet.gates[0].admit("other", 9e9, 0.0, self.fleet.now)
        self.assertEqual(decision, Admitted("other", 0.0))


class FailureTest(QuotaTest):
    """Nodes or the coordinator fail while tenants flood."""

    def test_cut(self):
        """Guards against nodes that use more than the limit together with those they are cut off
        from, whenever the flood begins, and against a tenant that is not served there.
        """
        for head_start_s in (0.0, 0.15, 2.0):
            with self.subTest(head_start_s=head_start_s):
                self.setUp()
                self.flood(7.5)
                self.fleet.run(head_start_s)
                cut = set(range(NODES // 4))
                self.fleet.linked -= cut
                self.fleet.run(6.0)
                self.fleet.heal(cut)
                self.fleet.run(6.0)
                self.assert_within_quotas()
                self.assertGreater(self.fleet.used_share("t0", 12.0), 0.85)
                self.assertGreater(self.fleet.served_share("t1"), 0.85)

    def test_coordinator_in_the_smaller_part(self):
        """Guards against a coordinator that grants the share of the nodes that it has lost."""
        self.fleet.linked = set(range(20))
        self.flood(7.5)
        self.fleet.run(12.0)
        self.assert_within_quotas()

    def test_coordinator_is_killed(self):
        """Guards against successors that grant anew what their predecessors have granted."""
        self.flood(7.5)
        self.fleet.run(1.0)
        for _ in range(4):
            self.fleet.book = None
            self.fleet.run(1.0)
            self.fleet.elect()
            self.fleet.run(1.5)
        self.assert_within_quotas()
        self.assertGreater(self.fleet.used_share("t0", 8.0), 0.6)

    def test_two_handovers_as_a_flood_begins(self):
        """Guards against a debt that nodes hand in to a successor and that is forgotten when the
        successor ends as well.
        """
        self.flood(10.0)
        for gap_s in (1.0, 0.3):
            self.fleet.book = None
            self.fleet.run(gap_s)
            self.fleet.elect()
            self.fleet.run(0.3)
        self.fleet.run(8.0)
        self.assert_within_quotas()

    def test_coordinator_is_killed_in_calm(self):
        """Guards against refusals under the limit while a successor takes over."""
        for _ in range(2):
            self.fleet.book = None
            self.fleet.run(0.9)
            self.fleet.elect()
            self.fleet.run(6.0)
        for name in ("t0", "t1"):
            self.assertGreater(self.fleet.served_share(name), 0.95, name)

    def test_coordinator_freezes(self):
        """Guards against nodes that stay open while the coordinator cannot close a tenant, and
        against grants that arrive after the nodes have used their own shares.
        """
        self.flood(7.5)
        self.fleet.frozen_until = self.fleet.now + 3.5
        self.fleet.run(10.0)
        self.assert_within_quotas()

    def test_everything_restarts(self):
        """Guards against new processes that grant what the former ones have spent."""
        self.flood(7.5)
        self.fleet.run(3.0)
        self.fleet.gates = [self.fleet.make_gate(NODES) for _ in range(NODES)]
        self.fleet.book = None
        self.fleet.run(0.5)
        self.fleet.elect()
        self.fleet.run(8.0)
        self.assert_within_quotas()
        self.assertGreater(self.fleet.used_share("t0", 5.0), 0.9)

    def test_grant_that_is_read_after_a_freeze_is_not_used(self):
        """Guards against a request that is sent after its caller has left."""
        self.fleet.book = None
        gate = self.fleet.make_gate(NODES)
        gate.record_contact(self.fleet.now)
        deferred = gate.admit("t0", 100.0, 0.1, self.fleet.now)
        woken_at = self.fleet.now + 3.0
        grant = QuotaGrant(deferred.ask_id, woken_at, woken_at)
        ((_, decision),) = gate.apply(QuotaReply((grant,)), woken_at)
        self.assertIsInstance(decision, OverQuota)


class LargeTenantTest(unittest.TestCase):
    """A tenant so large that the slack is a small part of its limit."""

    def test_flood(self):
        """Guards against bounds that hold for slacks of the size of the limit only."""
        fleet = QuotaFleet(8, make_tenants(4_000_000.0))
        fleet.elect()
        fleet.run(5.0)
        fleet.demand["t0"] *= 10.0
        fleet.run(10.0)
        self.assertLessEqual(fleet.worst_window("t0"), 1.0)


class SmallLimitTest(unittest.TestCase):
    """A quota of one request per second without a burst."""

    def test_each_second_one_request_runs(self):
        """Guards against a limit whose margin is less than one request and that lets none run, and
        against nodes that admit alone where the delay of reports exceeds the margin.
        """
        tenant = Tenant("press", ("k",), rate_per_s=1.0)
        book = QuotaBook({"press": tenant}, ServiceBounds(), 1.0, 0.0)
        granted = 0
        for step in range(300):
            now = step / 10.0
            reply = book.apply(QuotaReport(asks=(QuotaAsk(step, "press", 1.0, 0.05),)), now)
            granted += reply.grants[0].start_at is not None
            self.assertEqual(book.update(now), {})
        self.assertGreaterEqual(granted, 25)
        self.assertLessEqual(granted, 31)


if __name__ == "__main__":
    unittest.main()
