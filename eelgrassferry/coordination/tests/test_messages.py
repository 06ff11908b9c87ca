"""Tests of the messages between nodes."""

import random
import unittest

from ...dispatch import UpstreamLoad
from ...peers.frame import Frame, encode_frame
from ..messages import VIEW, FleetView, decode_view, encode_view


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
