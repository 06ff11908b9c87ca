"""Tests of the shares of tenants in upstreams that are overloaded, in virtual time."""

import heapq
import unittest
from itertools import count
from random import Random

from ...fleet import FleetConfig, Service, Tenant
from ...tenants import FairShares
from .. import Refuse, Send
from .fixtures import ENGINE, DispatcherFixture

# Time that a request holds a slot of an engine, in seconds. The three engines take 21 requests.
HOLD_S = 0.5
TICK_S = 0.02
RUN_S = 8.0


class Run:
    """Poisson arrivals of tenants, in requests per second, at one dispatcher for some seconds.

    ``counts`` has the number of requests, of those sent and of those sent in time, by tenant.
    ``longest_wait_s`` is the longest time from the arrival to the dispatch of a request, by tenant.
    """

    def __init__(self, rates: dict[str, float], tenants: dict[str, Tenant], seconds: float = RUN_S):
        self.counts = {name: [0, 0, 0] for name in rates}
        self.longest_wait_s = dict.fromkeys(rates, 0.0)
        # The node is in a domain without engines, so that none of them keeps a reserve from it.
        fixture = DispatcherFixture(domain="z")
        self._dispatcher = fixture.dispatcher
        config = FleetConfig(2, (), {"chat": Service("chat", ENGINE)}, tenants=tenants)
        self._dispatcher.set_config(config)
        rng, self._numbers = Random(11), count()
        self._events = [
            (TICK_S * (i + 1), next(self._numbers), "tick", None)
            for i in range(round((RUN_S + 2.0) / TICK_S))
        ]
        for name, rate in rates.items():
            at = rng.expovariate(rate)
            while at < seconds:
                job = fixture.make_job(now=at, tokens=200)
                job.tenant = name
                self._events.append((at, next(self._numbers), "submit", job))
                at += rng.expovariate(rate)
        heapq.heapify(self._events)
        while self._events:
            self._step()

    def _step(self) -> None:
        now, _, event, job = heapq.heappop(self._events)
        dispatcher = self._dispatcher
        match event:
            case "submit":
                self.counts[job.tenant][0] += 1
                actions = dispatcher.submit(job, now)
            case "first event":
                dispatcher.record_first_event(job, now)
                actions = []
            case "end":
                actions = dispatcher.succeed(job, now)
            case _:
                actions = dispatcher.dispatch_waiting(now)
        for action in actions:
            match action:
                case Send(sent):
                    self._record_sent(sent, now)
                case Refuse():
                    pass
                case other:
                    raise AssertionError(f"unexpected action {other}")

    def _record_sent(self, job, now: float) -> None:
        self._dispatcher.record_sent(job)
        self.counts[job.tenant][1] += 1
        self.counts[job.tenant][2] += now + job.attempt.expected_s <= job.target_at
        waited_s = now - job.arrived_at
        self.longest_wait_s[job.tenant] = max(self.longest_wait_s[job.tenant], waited_s)
        for event, after_s in (("first event", job.attempt.expected_s), ("end", HOLD_S)):
            heapq.heappush(self._events, (now + after_s, next(self._numbers), event, job))

    def served(self, *tenants: str) -> float:
        """Return the share of the tenants' requests that was sent."""
        return sum(self.counts[name][1] for name in tenants) / sum(
            self.counts[name][0] for name in tenants
        )


def make_tenants(**rates: float) -> dict[str, Tenant]:
    """Return tenants with the given quotas; 0 means none."""
    return {name: Tenant(name, (), rate_per_s=rate) for name, rate in rates.items()}


STEADY = {"hot": 7.0, "b": 7.0, "c": 7.0, "d": 7.0}
NO_QUOTAS = make_tenants(hot=0.0, b=0.0, c=0.0, d=0.0)


class TenantSharesTest(unittest.TestCase):
    """Tenants that compete for engines which serve 42 requests per second."""

    def test_flood_of_one_tenant_does_not_push_out_the_others(self):
        """Guards against a tenant at ten times its usual rate that takes the capacity of all: in
        order of arrival, the others were served less than 0.6 of their requests.
        """
        run = Run({**STEADY, "hot": 70.0}, NO_QUOTAS)
        self.assertEqual(run.served("b", "c", "d"), 1.0)
        for name in ("b", "c", "d"):
            asked, _, in_time = run.counts[name]
            self.assertGreaterEqual(in_time, 0.98 * asked)
            self.assertLess(run.longest_wait_s[name], 0.4)
        # What the others leave, 21 requests per second, is used.
        self.assertGreater(run.counts["hot"][1], 0.95 * RUN_S * 21.0)

    def test_order_of_arrival_without_tenants(self):
        """Guards against a changed order in a fleet whose configuration has no tenants."""
        run = Run({**STEADY, "hot": 70.0}, {})
        for name in STEADY:
            self.assertAlmostEqual(run.served(name), run.served(*STEADY), delta=0.1)
        self.assertLess(run.served("b", "c", "d"), 0.6)

    def test_shares_follow_the_quotas(self):
        """Guards against equal shares of tenants with unequal claims, and against a tenant that
        gets nothing because all of them ask for more than there is.
        """
        rates = dict.fromkeys(STEADY, 40.0)
        run = Run(rates, make_tenants(hot=10.0, b=10.0, c=20.0, d=40.0))
        total = sum(run.counts[name][1] for name in rates)
        for name, share in (("hot", 0.125), ("b", 0.125), ("c", 0.25), ("d", 0.5)):
            self.assertAlmostEqual(run.counts[name][1] / total, share, delta=0.02)

    def test_surplus_that_was_refused_does_not_count(self):
        """Guards against a tenant that is left out after its flood has ended, because its refused
        requests were counted, and against one that has saved up a claim by asking for little.
        """
        job = make_requests()
        shares = FairShares()
        shares.set_config(FleetConfig(1, (), tenants=NO_QUOTAS))
        flood = [job("hot", at) for at in range(50)]
        shares.order(flood)
        for _ in range(9):
            shares.record_sent(job("b", 0.0))
        late = [job("b", 1.0), job("b", 2.0), job("hot", 3.0), job("c", 4.0), job("c", 5.0)]
        names = [request.tenant for request in shares.order(late)]
        self.assertEqual(names, ["hot", "c", "b", "c", "b"])

    def test_priority_goes_first(self):
        """Guards against a tenant with a claim that goes before more urgent requests."""
        job = make_requests()
        shares = FairShares()
        shares.set_config(FleetConfig(1, (), tenants=NO_QUOTAS))
        waiting = [job("b", 0.0), job("hot", 1.0), job("hot", 2.0)]
        waiting[2].tenant_priority = 0
        ordered = shares.order(waiting)
        self.assertEqual(ordered, [waiting[2], waiting[0], waiting[1]])

    def test_new_request_lets_a_waiting_one_of_another_tenant_go_first(self):
        """Guards against a flood that takes the capacity which becomes free between two rounds."""
        job = make_requests()
        shares = FairShares()
        shares.set_config(FleetConfig(1, (), tenants=NO_QUOTAS))
        waiting = [job("b", 0.0), job("hot", 1.0)]
        shares.order(waiting)
        shares.record_sent(job("hot", 2.0))
        self.assertTrue(shares.must_wait(job("hot", 3.0), waiting))
        self.assertFalse(shares.must_wait(job("b", 3.0), waiting))
        other_model = job("hot", 3.0)
        other_model.model = "m1"
        self.assertFalse(shares.must_wait(other_model, waiting))
        shares.forget_idle(())
        self.assertFalse(shares.must_wait(job("hot", 3.0), waiting))


def make_requests():
    """Return a function that makes a request of a tenant that arrives at a time in seconds."""
    fixture = DispatcherFixture()

    def make(tenant: str, at: float):
        job = fixture.make_job(now=float(at))
        job.tenant = tenant
        return job

    return make
