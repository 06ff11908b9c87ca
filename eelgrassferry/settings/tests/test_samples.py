"""Tests of the sample deployments, including the sizes that the users specified."""

import unittest
from pathlib import Path

from .. import Deployment, SettingsText, UpstreamKind, load_deployment, load_node_settings

SAMPLES = Path(__file__).resolve().parents[3] / "deployments"


def load_site(site: str) -> Deployment:
    """Load the sample base with the overlay of a site."""
    texts = [SettingsText(f, (SAMPLES / f).read_text()) for f in ("base.ini", f"{site}.ini")]
    return load_deployment(*texts).unwrap().deployment


class SamplesTest(unittest.TestCase):
    """The files under deployments/."""

    def assert_sizes(self, dep: Deployment, domains: int, services: int, models: int, adapters):
        kinds = [upstream.kind for upstream in dep.upstreams.values()]
        self.assertEqual(len(dep.site.domains), domains)
        self.assertEqual(kinds.count(UpstreamKind.ENGINE), 6)
        self.assertEqual(kinds.count(UpstreamKind.SERVICE), services)
        self.assertEqual((len(dep.models), len(dep.adapters)), (models, adapters))
        self.assertLess(sum(engine.accelerators for engine in dep.engines), models)
        self.assertEqual({engine.checks_fence for engine in dep.engines}, {True, False})
        self.assertEqual(
            {upstream.domain for upstream in dep.upstreams.values()}, {*dep.site.domains}
        )

    def assert_fits(self, dep: Deployment) -> None:
        """Check that all models fit on the engines and leave more than 20 % of the memory free.

        Each model is placed together with all its adapters, the largest first, on the engine with
        the most free memory.
        """
        free = {engine.name: engine.memory_mib for engine in dep.engines}
        total = sum(free.values())
        needs = {
            model.name: model.memory_mib
            + sum(a.memory_mib for a in dep.adapters.values() if a.base == model.name)
            for model in dep.models.values()
        }
        for need in sorted(needs.values(), reverse=True):
            name = max(free, key=lambda engine: free[engine])
            self.assertGreaterEqual(free[name], need)
            free[name] -= need
        self.assertGreater(sum(free.values()), total * 0.2)

    def test_uy_sur(self):
        """Guards against a sample that does not load, does not fit, or has the wrong sizes."""
        dep = load_site("uy-sur")
        self.assert_sizes(dep, 4, 4, 25, 65)
        self.assert_fits(dep)
        store = dep.store
        self.assertEqual((store.loads_per_s, store.slots, store.adapter_slots), (1.5, 2, 16))
        service = dep.services["booking"]
        self.assertFalse(service.is_repeatable("POST", "/bookings"))
        self.assertTrue(service.is_repeatable("GET", "/status/7"))

    def test_lower_mainland(self):
        """Guards against a sample that does not load, does not fit, or has the wrong sizes."""
        dep = load_site("lower-mainland")
        self.assert_sizes(dep, 3, 3, 20, 75)
        self.assert_fits(dep)
        store = dep.store
        self.assertEqual((store.loads_per_s, store.slots, store.adapter_slots), (1.5, 3, 24))
        service = dep.services["print-order"]
        self.assertFalse(service.is_repeatable("POST", "/print-orders"))
        self.assertTrue(service.is_repeatable("GET", "/status/7"))
        self.assertGreater(dep.site.move_cost, 10 * load_site("uy-sur").site.move_cost)

    def test_node_file(self):
        """Guards against a sample node that does not belong to a sample site."""
        text = (SAMPLES / "node.ini").read_text()
        node = load_node_settings(SettingsText("node.ini", text)).unwrap()
        self.assertIn(node.domain, load_site(node.site).site.domains)
