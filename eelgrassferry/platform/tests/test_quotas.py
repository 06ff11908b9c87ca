"""Tests of requests that the quota of their tenant allows, defers or refuses."""

import unittest
from random import Random
from unittest.mock import Mock

from ...fleet import FleetConfig, QuotaUnit, Service, ServiceBounds, Tenant
from ...tenants import QuotaGate, QuotaGrant, QuotaReply
from .test_keys import RequestKeyCase

TOKENS = b"Eelgrassferry-Token-Counts: 1000,100\r\n"
BOUNDS = ServiceBounds(quota_window_s=8.0, quota_over=0.1, quota_slack=0.0)


class RequestQuotaTest(RequestKeyCase):
    """A request handler in touch with a coordinator, and a tenant with a quota in tokens."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        tenant = Tenant("press", ("kp-1",), None, 4000.0, 4000.0, QuotaUnit.TOKENS, 200)
        config = FleetConfig(9, self.routes, {"desk": Service("desk")}, tenants={"press": tenant})
        self.handler.set_config(config)
        self.gate = QuotaGate(BOUNDS, Random(1), 0.0)
        self.gate.set_tenants(config.tenants)
        self.gate.record_contact(0.0)
        self.send_soon = Mock()
        self.quotas = self.handler.use_quotas(self.gate, self.send_soon)

    def open_tenant(self) -> None:
        """Let the coordinator say that nodes need not ask."""
        self.gate.apply(QuotaReply(is_open={"press": True}), 0.0)

    def ask(self):
        """Send a request that is deferred; return its connection, transport and question."""
        conn, transport = self.open_conn()
        conn.data_received(self.request([b"kp-1"]).replace(b"Content-", TOKENS + b"Content-"))
        report = self.gate.pop_report(1.0)
        return conn, transport, report.asks[0]

    def grant(self, ask, start_at: float | None) -> None:
        """Let the coordinator answer a question."""
        grant = QuotaGrant(ask.ask_id, start_at, 0.3)
        self.quotas.apply(self.gate.apply(QuotaReply((grant,)), 0.0))

    def reported(self) -> dict[str, float]:
        """Return the units in the gate's next report."""
        report = self.gate.pop_report(10.0)
        return {} if report is None else dict(report.spent)

    async def test_open_tenant(self):
        """Guards against requests that are counted by other than their tokens."""
        self.open_tenant()
        self.assertEqual(self.status([b"kp-1"]), 200)
        self.assertEqual(self.reported(), {"press": 200.0})
        self.assertEqual(self.metrics.counters["tenant_quota_used.press."], 200)

    async def test_granted(self):
        """Guards against a request that runs before its grant, or not at all."""
        _, transport, ask = self.ask()
        self.assertEqual((ask.tenant, ask.units, transport.written), ("press", 1100.0, b""))
        self.send_soon.assert_called_once()
        self.assertEqual(self.upstream_conns, [])
        self.grant(ask, 0.05)
        self.assertEqual(self.upstream_conns, [])
        self.quotas.apply(self.gate.due(0.05))
        self.serve(self.upstream_conns[-1], "r1")
        self.assertIn(b"HTTP/1.1 200 ", transport.written)

    async def test_over_quota(self):
        """Guards against a refusal that is not a promise, or that does not say when to return."""
        _, transport, ask = self.ask()
        self.grant(ask, None)
        self.assertIn(b"HTTP/1.1 429 ", transport.written)
        self.assertRegex(transport.written.lower(), rb"retry-after: 0\.[345]")
        self.assertEqual((self.upstream_conns, self.handler.in_flight), ([], 0))
        self.assertEqual(self.metrics.counters["tenant_refused.press.over_quota"], 1)

    async def test_caller_leaves_before_the_answer(self):
        """Guards against a grant that is lost for the tenant, and a request without a caller."""
        conn, _, ask = self.ask()
        conn.connection_lost(None)
        self.grant(ask, 0.0)
        self.assertEqual((self.upstream_conns, self.handler.in_flight), ([], 0))
        self.assertEqual(self.reported(), {"press": -1100.0})

    async def test_refused_after_the_grant(self):
        """Guards against a quota that is used up by requests that do not run."""
        self.open_tenant()
        self.dispatcher.stop(0.0)
        self.assertEqual(self.status([b"kp-1"]), 503)
        self.assertEqual(self.reported(), {})

    async def test_anonymous_route(self):
        """Guards against a quota for requests without a tenant."""
        self.assertEqual(self.status([], b"/open/x"), 200)


if __name__ == "__main__":
    unittest.main()
