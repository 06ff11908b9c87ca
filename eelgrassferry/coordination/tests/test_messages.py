"""Tests of the messages between nodes."""

import random
import unittest
from dataclasses import replace

from ...dispatch import BlockedContent, BrokenRun, CrashEvidence, UpstreamLoad
from ...ordering import NodeStatus
from ...peers.frame import Frame, FrameDecoder, encode_frame
from ..messages import (
    STATUS,
    VIEW,
    FleetView,
    ViewReply,
    decode_status,
    decode_view,
    encode_status,
    encode_view,
)


class LoadsTest(unittest.TestCase):
    """The loads of all engines, which are sent to each node several times a second."""

    def make_loads(self, count: int) -> dict[str, UpstreamLoad]:
        rng = random.Random(1)
        return {
            f"i-{number:08x}": UpstreamLoad(
                float(rng.randrange(9)), rng.random() * 50_000, {0: rng.random(), 1: 1e-17}
            ).rounded()
            for number in range(count)
        }

    def test_loads_are_decoded_as_they_were_encoded(self):
        """Guards against a node that subtracts an own load that differs from the one it sent."""
        view = FleetView(1, 2, 3, self.make_loads(70))
        self.assertEqual(decode_view(encode_view(view, 5.0), 5.0).unwrap().loads, view.loads)

    def test_one_engine_takes_few_bytes(self):
        """Guards against views that use up the bandwidth between failure domains: the name of an
        engine and four small integers take about 25 bytes.
        """
        few, many = (FleetView(1, 2, 3, self.make_loads(count)) for count in (10, 70))
        sizes = [len(encode_frame(Frame(VIEW, encode_view(v, 5.0)))) for v in (few, many)]
        self.assertLess((sizes[1] - sizes[0]) / 60, 32)


class VersionsTest(unittest.TestCase):
    """The versions of the coordinator's copies of the store's objects, in each view."""

    def test_versions_are_decoded_as_they_were_encoded(self):
        """Guards against a node that does not notice that it has missed a change."""
        view = FleetView(1, 2, 3, versions={"config/": 44, "servers/": 47})
        self.assertEqual(decode_view(encode_view(view, 5.0), 5.0).unwrap().versions, view.versions)


class CrashEvidenceTest(unittest.TestCase):
    """Observations on crashed upstreams, in statuses and views."""

    EVIDENCE = CrashEvidence(
        broken_runs=(BrokenRun("u1/5", 3.0, ("part:a", "request:b")),),
        ended={"u1/5": 3.5},
        alive={"u2/6": 2.5},
        served={"part:c": 3.25},
        blocked=(
            BlockedContent(frozenset(("part:a",)), 3.5, 3.0, 2, ("u1/5",)),
            BlockedContent(frozenset(("part:d",)), 3.5),
        ),
    )

    def shifted(self, by_s: float) -> CrashEvidence:
        """Return the observations with all times later."""
        evidence = self.EVIDENCE
        return CrashEvidence(
            tuple(replace(run, at=run.at + by_s) for run in evidence.broken_runs),
            {key: at + by_s for key, at in evidence.ended.items()},
            {key: at + by_s for key, at in evidence.alive.items()},
            {key: at + by_s for key, at in evidence.served.items()},
            tuple(
                replace(b, blocked_at=b.blocked_at + by_s, served_at=b.served_at + by_s)
                for b in evidence.blocked
            ),
        )

    def transfer(self, frame: Frame) -> object:
        """Return the body of a frame after encoding and decoding."""
        decoder = FrameDecoder()
        decoder.feed(encode_frame(frame))
        return decoder.next().unwrap().body

    def test_times_are_those_of_the_receiver(self):
        """Guards against observations that are too old or too new at a node with another clock."""
        status = NodeStatus("n1", crashes=self.EVIDENCE)
        body = encode_status(status, ViewReply(0.0, False), 4.0)
        decoded, _ = decode_status(self.transfer(Frame(STATUS, body)), 104.0).unwrap()
        self.assertEqual(decoded.crashes, self.shifted(100.0))
        view = FleetView(1, 2, 3, crashes=self.EVIDENCE)
        body = self.transfer(Frame(VIEW, encode_view(view, 4.0)))
        self.assertEqual(decode_view(body, 104.0).unwrap().crashes, self.shifted(100.0))

    def test_calm_fleet_sends_nothing(self):
        """Guards against bytes between failure domains for each status and view of a calm day."""
        body = encode_status(NodeStatus("n1"), ViewReply(0.0, False), 4.0)
        self.assertNotIn("crashes", body)
        self.assertNotIn("crashes", encode_view(FleetView(1, 2, 3), 4.0))

    def test_malformed_observations_are_an_error(self):
        """Guards against a node that fails because of a message of another version."""
        for crashes in ([], 5, [[], {}, {}, {}, [["part:a"]]], [[["u1"]], {}, {}, {}, []]):
            body = encode_status(NodeStatus("n1"), ViewReply(0.0, False), 4.0)
            self.assertTrue(decode_status({**body, "crashes": crashes}, 4.0).is_err(), crashes)
