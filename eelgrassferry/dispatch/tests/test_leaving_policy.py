"""Tests of requests that leave the failure domain or stay, in virtual time."""

import unittest
from dataclasses import replace

from ...fleet import RequestKind
from .. import AttemptFailure, Send, UpstreamLoad
from .fixtures import DispatcherFixture

# Size of a prompt and of an answer that are costly to send to another domain, in bytes.
LARGE_BYTES = 400_000


class _Pair:
    """Two nodes in domains ``a`` and ``b`` and the load on their engines ``e0`` and ``e1``."""

    def __init__(self) -> None:
        self.nodes = {"e0": DispatcherFixture("a"), "e1": DispatcherFixture("b")}
        for fixture in self.nodes.values():
            fixture.directory.update("e2", None)

    def set_backlog(self, e0: float, e1: float, now: float) -> None:
        """Set the seconds of unread prompts on each engine, as all nodes know it."""
        loads = {
            name: UpstreamLoad(requests=4 if wait_s else 0, backlog={1: wait_s})
            for name, wait_s in (("e0", e0), ("e1", e1))
        }
        for fixture in self.nodes.values():
            fixture.dispatcher.set_other_loads(loads, now)

    def share_left(self, home: str, now: float, count: int = 20, **more: object) -> float:
        """Return the share of requests at the node of engine ``home`` that leave its domain."""
        fixture = self.nodes[home]
        left = 0
        for _ in range(count):
            job = fixture.make_job(now=now, **more)
            left += fixture.send(job, now) != home
            fixture.dispatcher.cancel(job, now)
        return left / count


class PeaksApartTest(unittest.TestCase):
    """Two domains of equal size, each with its peak while the other has room."""

    def test_only_the_domain_at_its_peak_sends_work_away(self):
        """Guards against a full domain beside an idle one: at 0.45 s of unread prompts, requests
        with a target of 0.5 s are late at home.
        """
        pair = _Pair()
        for now, busy, idle in ((0.0, "e0", "e1"), (20.0, "e1", "e0"), (40.0, "e0", "e1")):
            pair.set_backlog(**{busy: 0.48, idle: 0.02}, now=now)
            self.assertEqual(pair.share_left(busy, now), 1.0)
            self.assertEqual(pair.share_left(idle, now), 0.0)

    def test_requests_that_are_in_time_at_home_stay(self):
        """Guards against traffic between domains that no caller notices: at 6 ms for another
        domain, every difference of load sent requests away.
        """
        pair = _Pair()
        pair.set_backlog(0.06, 0.0, 0.0)
        self.assertEqual(pair.share_left("e0", 0.0), 0.0)

    def test_patient_requests_stay_while_urgent_ones_leave(self):
        """Guards against a request with 8 s until its target that takes the room elsewhere."""
        pair = _Pair()
        pair.set_backlog(0.45, 0.0, 0.0)
        fixture = pair.nodes["e0"]
        patient = fixture.make_job()
        patient.route = replace(patient.route, target_latency_s=8.0)
        self.assertEqual(fixture.send(patient), "e0")
        self.assertEqual(fixture.send(fixture.make_job()), "e1")


class BothFullTest(unittest.TestCase):
    """Two domains that are both overloaded."""

    def test_domains_do_not_swap_work(self):
        """Guards against two domains that send each other their requests, which then all cross and
        none is earlier. The loads differ a little, to either side in turn, as old reports do.
        """
        pair = _Pair()
        for step in range(20):
            now = 0.1 * step
            lean = 0.03 if step % 2 else -0.03
            pair.set_backlog(0.40 + lean, 0.40 - lean, now)
            self.assertEqual(pair.share_left("e0", now, count=4), 0.0)
            self.assertEqual(pair.share_left("e1", now, count=4), 0.0)

    def test_full_domain_keeps_the_rest_for_its_own_callers(self):
        """Guards against overflow that takes the last places of another domain, so that its own
        callers have to leave in turn.
        """
        pair = _Pair()
        nearly_full = UpstreamLoad(requests=7, backlog={1: 0.1})
        for fixture in pair.nodes.values():
            fixture.dispatcher.set_other_loads(
                {"e0": UpstreamLoad(requests=8), "e1": nearly_full}, 0.0
            )
        job = pair.nodes["e0"].make_job()
        self.assertEqual(pair.nodes["e0"].dispatcher.submit(job, 0.0), [])
        self.assertEqual(pair.nodes["e1"].send(pair.nodes["e1"].make_job()), "e1")

    def test_patient_request_waits_for_a_place_at_home(self):
        """Guards against patient requests that leave because the domain is full for a moment, and
        against ones that wait until they are late.
        """
        pair = _Pair()
        fixture = pair.nodes["e0"]
        fixture.dispatcher.set_other_loads({"e0": UpstreamLoad(requests=8)}, 0.0)
        job = fixture.make_job()
        job.route = replace(job.route, target_latency_s=2.5)
        job.give_up_at = 10.0
        self.assertEqual(fixture.dispatcher.submit(job, 0.0), [])
        fixture.dispatcher.set_other_loads({"e0": UpstreamLoad(requests=8)}, 0.6)
        (sent,) = fixture.dispatcher.dispatch_waiting(0.6)
        self.assertEqual((sent.instance, job.attempt.leave_cause), ("e1", "full"))


class CostOfTheWayTest(unittest.TestCase):
    """The size of what crosses and the measured time between the domains."""

    def leaves(self, size: int = 0, connect_s: float = 0.008, backlog_s: float = 0.16) -> bool:
        """Return whether a request with a target of 0.5 s leaves its busy domain."""
        pair = _Pair()
        fixture = pair.nodes["e0"]
        for name, took_s in (("e0", 0.001), ("e1", connect_s)):
            fixture.dispatcher.record_connected(fixture.entries[name], took_s)
        pair.set_backlog(backlog_s, 0.0, 0.0)
        job = fixture.make_job()
        job.request_bytes = size
        return fixture.send(job) == "e1"

    def test_large_request_needs_more_gain_than_a_small_one(self):
        """Guards against a fixed cost, at which a prompt of 400 KB leaves as easily as 1 KB."""
        self.assertTrue(self.leaves(size=1000))
        self.assertFalse(self.leaves(size=LARGE_BYTES))

    def test_slow_link_is_avoided(self):
        """Guards against a constant for links of any length: here opening takes 200 ms."""
        self.assertFalse(self.leaves(connect_s=0.2))

    def test_expensive_answers_stay(self):
        """Guards against counting the request only: the route's answers are learnt."""
        pair = _Pair()
        fixture = pair.nodes["e0"]
        fixture.dispatcher.set_other_loads({"d0": UpstreamLoad(requests=10)}, 0.0)

        def sends_to() -> str:
            job = fixture.make_job(RequestKind.IDEMPOTENT)
            job.route = replace(job.route, target_latency_s=0.2)
            instance = fixture.send(job)
            fixture.dispatcher.cancel(job, 0.0)
            return instance

        self.assertNotEqual(sends_to(), "d0")
        for _ in range(50):
            fixture.dispatcher.selector.leaving.record_answer(
                fixture.make_job(RequestKind.IDEMPOTENT), 4 * LARGE_BYTES
            )
        self.assertEqual(sends_to(), "d0")


class CutTest(unittest.TestCase):
    """A domain is cut off from the others, or has lost its engines."""

    def test_isolated_domain_sends_nothing_away(self):
        """Guards against attempts across a cut, which end in a timeout."""
        pair = _Pair()
        pair.set_backlog(0.3, 0.0, 0.0)
        fixture = pair.nodes["e0"]
        fixture.dispatcher.set_isolated(True, 0.0)
        self.assertEqual(fixture.send(fixture.make_job()), "e0")

    def test_model_held_only_elsewhere_leaves(self):
        """Guards against a patient request that waits at home for a model that is not there, and
        against a reserve for others when there is no engine at home.
        """
        pair = _Pair()
        fixture = pair.nodes["e0"]
        fixture.directory.update("e0", replace(fixture.entries["e0"], residents={}))
        fixture.dispatcher.set_other_loads({"e1": UpstreamLoad(requests=6)}, 0.0)
        job = fixture.make_job()
        job.route = replace(job.route, target_latency_s=8.0)
        self.assertEqual(fixture.send(job), "e1")
        self.assertEqual(job.attempt.leave_cause, "no_copy")


class HysteresisTest(unittest.TestCase):
    """The load of the own domain stays near the point at which leaving begins to pay."""

    def test_way_once_open_stays_open_for_a_while(self):
        """Guards against requests for one model that alternate between domains, so that both read
        their shared prompts.
        """
        pair = _Pair()
        pair.set_backlog(0.08, 0.0, 0.0)
        self.assertEqual(pair.share_left("e0", 0.0), 0.0)
        pair.set_backlog(0.30, 0.0, 0.1)
        self.assertEqual(pair.share_left("e0", 0.1), 1.0)
        pair.set_backlog(0.08, 0.0, 0.2)
        self.assertEqual(pair.share_left("e0", 0.2), 1.0)
        pair.set_backlog(0.08, 0.0, 3.0)
        # The way was used until 0.2 s.
        self.assertEqual(pair.share_left("e0", 3.0), 0.0)


if __name__ == "__main__":
    unittest.main()


class UnusableHomeTest(unittest.TestCase):
    """Requests whose upstream in the own domain does not accept them, or has failed them."""

    def setUp(self):
        self.fixture = DispatcherFixture("a")
        self.selector = self.fixture.dispatcher.selector

    def make_job(self):
        job = self.fixture.make_job(RequestKind.IDEMPOTENT, max_attempts=3)
        job.route = replace(job.route, target_latency_s=0.5)
        return job

    def test_repeat_leaves_when_the_upstream_at_home_broke_off(self):
        """Guards against a repeat that waits until its deadline for the upstream that it must not
        be sent to again, while plain upstreams of 0.4 s elsewhere count as full.
        """
        for name in ("d0", "d1", "d2"):
            for _ in range(200):
                self.selector.record_plain_latency(name, 0.4)
        job = self.make_job()
        self.assertEqual(self.fixture.send(job), "d0")
        self.fixture.dispatcher.record_sent(job)
        actions = self.fixture.dispatcher.fail(job, AttemptFailure.BROKEN, 0.05)
        sent = [action.instance for action in actions if isinstance(action, Send)]
        self.assertIn(sent, (["d1"], ["d2"]))

    def test_request_leaves_while_the_upstream_at_home_backs_off(self):
        """Guards against a patient request that waits for an upstream which has crashed."""
        self.selector.backoffs.record_crash("d0", 0.0)
        job = self.make_job()
        job.route = replace(job.route, target_latency_s=10.0)
        self.assertIn(self.fixture.send(job, 0.01), ("d1", "d2"))
