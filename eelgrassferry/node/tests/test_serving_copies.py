"""Tests for the copies that a node serves before the lease holder's announcement."""

import random
import time
import unittest

from ...http import HttpClient
from ...metrics import Metrics
from ...objects import HostList
from ...routing import LoadReport, NodeIdentity, ResidentCopy, Router
from ...settings import Deployment, Model, Site, Upstream, UpstreamKind
from ..engine_poll import EngineView
from ..router_driver import RouterDriver
from ..shared_hosts import SharedHosts
from ..upstream_watch import MISSES_BEFORE_GONE, UpstreamWatch


class UnsearchableViews(dict):
    """A dictionary of views that fails on iteration over its values."""

    def values(self):
        raise AssertionError("every view was searched for one copy")


def make_view(upstream: str, *copies: tuple[str, str]) -> EngineView:
    """Return an engine view with copies given as pairs of name and version."""
    residents = tuple(ResidentCopy(name, version) for name, version in copies)
    return EngineView(upstream, "i", residents, False, 100, 1, LoadReport(upstream, 0, 0, 0.0))


class ServingCopiesTest(unittest.TestCase):
    """Three engines whose views are recorded directly."""

    def setUp(self) -> None:
        engines = {
            name: Upstream(name, UpstreamKind.ENGINE, "127.0.0.1:1", "d1", 1, 100)
            for name in ("u1", "u2", "u3")
        }
        deployment = Deployment(
            Site("s", ("d1",)), models={"m1": Model("m1", 1)}, upstreams=engines
        )
        client = HttpClient()
        self.router = Router(deployment, NodeIdentity("n1", "d1"), random.Random(1))
        driver = RouterDriver(self.router, Metrics(), time.monotonic, lambda action: None)
        hosts = SharedHosts(HostList(client, "127.0.0.1:1", "d1"))
        self.watch = UpstreamWatch(driver, hosts, client, Metrics(), lambda _: None, lambda _: None)
        self.watch.views = UnsearchableViews()

    def serving(self, upstream: str) -> list[bool]:
        copies = self.router._scheduler.residency.residents(upstream)
        return [copy.serving for copy in copies]

    def test_second_version_is_not_served_until_announced(self):
        """Guards against requests to a version that has not been probed.

        Also guards against a search of all views for each copy, which took a third of a core at
        1,700 copies.
        """
        self.watch._record_view(make_view("u1", ("m1", "1")))
        self.watch._record_view(make_view("u2", ("m1", "1"), ("m2", "1")))
        self.assertEqual((self.serving("u1"), self.serving("u2")), ([True], [True, True]))
        self.watch._record_view(make_view("u3", ("m1", "2")))
        self.assertEqual(self.serving("u3"), [False])
        self.watch.apply_announced_residency("u3", (ResidentCopy("m1", "2", True),))
        self.watch._record_view(make_view("u3", ("m1", "2")))
        self.assertEqual(self.serving("u3"), [True])

    def test_removed_version_is_not_counted(self):
        """Guards against a version that blocks another one after its last copy was removed."""
        self.watch._record_view(make_view("u1", ("m1", "1")))
        self.watch._record_view(make_view("u2", ("m1", "2")))
        self.assertEqual(self.serving("u2"), [False])
        self.watch._record_miss("u1", MISSES_BEFORE_GONE)
        self.watch._record_view(make_view("u2", ("m1", "2")))
        self.assertEqual(self.serving("u2"), [True])
        self.watch._record_view(make_view("u1"))
        self.watch._record_view(make_view("u2"))
        self.assertEqual(self.watch._version_counts, {})


if __name__ == "__main__":
    unittest.main()
