"""Tests of crash isolation over several nodes (I10)."""

import unittest

from .. import (
    ClaimDigest,
    ClaimOutcome,
    ClaimRegistry,
    Dispatch,
    ExecutionStatus,
    FailureKind,
    RefusalReason,
    ReleaseClaim,
    ShareSuspect,
    SuspectRegistry,
    UpstreamFailure,
    Verdict,
)
from ..claims import LANE_KEY, owner_of
from .fixtures import build_request, build_router
from .network import Network


class CrashIsolationTest(unittest.TestCase):
    """A request that crashes each upstream that runs it."""

    def test_resent_killer_takes_down_at_most_two_upstreams(self):
        """Guards against I10 when the caller resends through every node."""
        network = Network(nodes=5, upstreams=6, killers=frozenset({"killer"}))
        for round_number in range(4):
            for node in network.routers:
                request = build_request(f"{node}-{round_number}", digest="killer", deadline_at=1e4)
                network.submit(node, request)
            network.step()
        network.run(20)
        self.assertLessEqual(len(network.crashes), 2)
        self.assertEqual(len(network.refused), 20)
        reasons = {refusal.reason for refusal in network.refused.values()}
        self.assertEqual(reasons, {RefusalReason.CRASHED_UPSTREAMS})

    def test_refusal_of_a_killer_that_ran_says_unknown(self):
        """Guards against I4."""
        network = Network(nodes=2, upstreams=4, killers=frozenset({"killer"}))
        network.submit("n1", build_request("k", digest="killer", deadline_at=1e4))
        network.run(20)
        self.assertIs(network.refused["k"].ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(len(network.crashes), 2)

    def test_innocent_requests_are_served(self):
        """Guards against refusing what ran beside a killer, and against two suspects at a time."""
        network = Network(nodes=3, upstreams=3, killers=frozenset({"killer"}))
        for index in range(9):
            node = f"n{index % 3 + 1}"
            network.submit(node, build_request(f"r{index}", deadline_at=1e4))
        network.submit("n1", build_request("k", digest="killer", deadline_at=1e4))
        network.run(40)
        self.assertEqual(network.done, {f"r{index}" for index in range(9)})
        self.assertEqual(set(network.refused), {"k"})
        self.assertEqual(network.most_alone, 1)
        self.assertLessEqual(len(network.crashes), 2)

    def test_two_killers_take_down_two_upstreams_each(self):
        """Guards against one killer's crashes hiding another."""
        network = Network(nodes=3, upstreams=6, killers=frozenset({"k1", "k2"}))
        for index in range(4):
            node = f"n{index % 3 + 1}"
            network.submit(node, build_request(f"a{index}", digest="k1", deadline_at=1e4))
            network.submit(node, build_request(f"b{index}", digest="k2", deadline_at=1e4))
            network.submit(node, build_request(f"r{index}", deadline_at=1e4))
        network.run(60)
        self.assertEqual(network.done, {f"r{index}" for index in range(4)})
        self.assertLessEqual(len(network.crashes), 4)

    def test_same_digest_twice_on_one_upstream_is_one_incident(self):
        """Guards against confirming a digest that two callers sent beside a killer."""
        registry = SuspectRegistry()
        registry.note_crash("d", "u1")
        registry.learn("d", ("u1",), cleared=False)
        self.assertIs(registry.verdict("d"), Verdict.SUSPECT)

    def test_cleared_incident_does_not_return(self):
        """Guards against gossip that arrives after the digest was cleared."""
        registry = SuspectRegistry()
        registry.note_crash("d", "u1")
        registry.note_completed("d")
        registry.learn("d", ("u1",), cleared=False)
        self.assertIs(registry.verdict("d"), Verdict.GOOD)

    def test_suspect_waits_until_the_nodes_know_each_other(self):
        """Guards against two nodes that both grant the turn for suspects, just after they have
        started: an innocent stream then runs beside the request that crashes upstreams and is
        refused with it (features/upstreams.feature, beside load).
        """
        router = build_router()
        router.update_nodes(["n1"], 0.0)
        (sent,) = router.submit(build_request("r1", deadline_at=1e4), 0.1)
        failure = UpstreamFailure(FailureKind.CRASHED, sent.upstream)
        crashed = router.fail("r1", failure, 0, 0.5)
        self.assertEqual([type(action) for action in crashed], [ShareSuspect])
        router.update_nodes(["n1", "n2"], 0.8)
        self.assertEqual(router.tick(3.2), ())
        admitted = router.tick(3.4)
        owner = owner_of(LANE_KEY, ["n1", "n2"])
        match admitted[-1]:
            case ClaimDigest(_, _, "n2", True):
                self.assertEqual(owner, "n2")
            case Dispatch(alone=True):
                self.assertEqual(owner, "n1")
            case other:
                self.fail(f"not admitted: {other}")

    def test_unreachable_owner_does_not_block_a_request(self):
        """Guards against requests that wait for a lost claim, and against claims held for good."""
        router = build_router()
        router.update_nodes(["n1", "n2"], 0.0)
        digest = next(f"d{i}" for i in range(99) if owner_of(f"d{i}", ["n1", "n2"]) == "n2")
        (claim,) = router.submit(build_request("r1", digest=digest), 0.0)
        self.assertEqual((claim.owner, claim.lane), ("n2", False))
        drop, dispatch = router.on_claim_unavailable("r1", False, 0.1)
        self.assertIsInstance(drop, ReleaseClaim)
        self.assertEqual((drop.owner, drop.outcome), ("n2", ClaimOutcome.DROPPED))
        self.assertIsInstance(dispatch, Dispatch)


class ClaimRegistryTest(unittest.TestCase):
    """The owner's side of claims."""

    def test_crash_uses_up_a_claim(self):
        """Guards against a third copy while the second still runs."""
        registry = ClaimRegistry()
        for request_id in ("r1", "r2", "r3"):
            registry.ask("n1", request_id, "d")
        answers = registry.release("n1", "r1", "d", ClaimOutcome.CRASHED, "u1")
        self.assertEqual(answers, ())
        answers = registry.release("n1", "r2", "d", ClaimOutcome.CRASHED, "u2")
        self.assertEqual([type(answer).__name__ for answer in answers], ["DenyClaim"])

    def test_completion_opens_the_digest(self):
        """Guards against popular requests limited to two copies for good."""
        registry = ClaimRegistry()
        for request_id in ("r1", "r2", "r3", "r4"):
            registry.ask("n1", request_id, "d")
        answers = registry.release("n1", "r1", "d", ClaimOutcome.COMPLETED)
        self.assertEqual({answer.request_id for answer in answers}, {"r3", "r4"})

    def test_claims_of_a_node_that_is_gone_are_released(self):
        """Guards against a digest, or the lane, blocked by a node that crashed."""
        registry = ClaimRegistry()
        for request_id in ("r1", "r2"):
            registry.ask("n1", request_id, "d")
        registry.ask("n2", "r3", "d")
        registry.ask_lane("n1", "r1", "d")
        registry.ask_lane("n2", "r3", "d")
        answers = registry.drop_nodes(["n2"])
        self.assertEqual({(a.request_id, a.lane) for a in answers}, {("r3", False), ("r3", True)})


if __name__ == "__main__":
    unittest.main()
