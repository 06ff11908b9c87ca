"""Tests of crash isolation across nodes (I10)."""

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
    """Tests with requests that crash each upstream that runs them."""

    def test_resent_crashing_request_crashes_at_most_two_upstreams(self):
        """Guards against more than two crashes when the caller resends via every node (I10)."""
        network = Network(nodes=5, upstreams=6, crashing_digests=frozenset({"killer"}))
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

    def test_refusal_after_a_crash_reports_unknown_execution(self):
        """Guards against a refusal that reports that the request did not run (I4)."""
        network = Network(nodes=2, upstreams=4, crashing_digests=frozenset({"killer"}))
        network.submit("n1", build_request("k", digest="killer", deadline_at=1e4))
        network.run(20)
        self.assertIs(network.refused["k"].ran, ExecutionStatus.UNKNOWN)
        self.assertEqual(len(network.crashes), 2)

    def test_innocent_requests_are_served(self):
        """Guards against refusing requests that ran beside a crashing one.

        Also guards against two suspects that run at the same time.
        """
        network = Network(nodes=3, upstreams=3, crashing_digests=frozenset({"killer"}))
        for index in range(9):
            node = f"n{index % 3 + 1}"
            network.submit(node, build_request(f"r{index}", deadline_at=1e4))
        network.submit("n1", build_request("k", digest="killer", deadline_at=1e4))
        network.run(40)
        self.assertEqual(network.completed, {f"r{index}" for index in range(9)})
        self.assertEqual(set(network.refused), {"k"})
        self.assertEqual(network.max_running_suspects, 1)
        self.assertLessEqual(len(network.crashes), 2)

    def test_two_crashing_digests_crash_two_upstreams_each(self):
        """Guards against attributing the crashes of one digest to another."""
        network = Network(nodes=3, upstreams=6, crashing_digests=frozenset({"k1", "k2"}))
        for index in range(4):
            node = f"n{index % 3 + 1}"
            network.submit(node, build_request(f"a{index}", digest="k1", deadline_at=1e4))
            network.submit(node, build_request(f"b{index}", digest="k2", deadline_at=1e4))
            network.submit(node, build_request(f"r{index}", deadline_at=1e4))
        network.run(60)
        self.assertEqual(network.completed, {f"r{index}" for index in range(4)})
        self.assertLessEqual(len(network.crashes), 4)

    def test_same_digest_twice_on_one_upstream_is_one_incident(self):
        """Guards against confirming a digest sent by two callers beside a crashing one."""
        registry = SuspectRegistry()
        registry.record_crash("d", "u1")
        registry.merge("d", ("u1",), cleared=False)
        self.assertIs(registry.verdict("d"), Verdict.SUSPECT)

    def test_cleared_incident_does_not_return(self):
        """Guards against incidents received by gossip after the digest was cleared."""
        registry = SuspectRegistry()
        registry.record_crash("d", "u1")
        registry.record_completion("d")
        registry.merge("d", ("u1",), cleared=False)
        self.assertIs(registry.verdict("d"), Verdict.GOOD)

    def test_suspect_waits_until_the_membership_settles(self):
        """Guards against two nodes that both grant the suspect lane just after their start.

        An innocent stream would run beside the request that crashes upstreams and be refused with
        it (features/upstreams.feature, beside load).
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
        """Guards against requests that wait for a lost claim, and claims never released."""
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
    """Tests of the claims granted by the owner of a digest."""

    def test_crash_reduces_the_claims(self):
        """Guards against running a third copy while the second still runs."""
        registry = ClaimRegistry()
        for request_id in ("r1", "r2", "r3"):
            registry.request("n1", request_id, "d")
        answers = registry.release("n1", "r1", "d", ClaimOutcome.CRASHED, "u1")
        self.assertEqual(answers, ())
        answers = registry.release("n1", "r2", "d", ClaimOutcome.CRASHED, "u2")
        self.assertEqual([type(answer).__name__ for answer in answers], ["DenyClaim"])

    def test_completion_lifts_the_limit(self):
        """Guards against limiting a digest to two copies after it completed."""
        registry = ClaimRegistry()
        for request_id in ("r1", "r2", "r3", "r4"):
            registry.request("n1", request_id, "d")
        answers = registry.release("n1", "r1", "d", ClaimOutcome.COMPLETED)
        self.assertEqual({answer.request_id for answer in answers}, {"r3", "r4"})

    def test_claims_of_a_removed_node_are_released(self):
        """Guards against a digest or the suspect lane blocked by a node that crashed."""
        registry = ClaimRegistry()
        for request_id in ("r1", "r2"):
            registry.request("n1", request_id, "d")
        registry.request("n2", "r3", "d")
        registry.request_lane("n1", "r1", "d")
        registry.request_lane("n2", "r3", "d")
        answers = registry.retain_nodes(["n2"])
        self.assertEqual({(a.request_id, a.lane) for a in answers}, {("r3", False), ("r3", True)})


if __name__ == "__main__":
    unittest.main()
