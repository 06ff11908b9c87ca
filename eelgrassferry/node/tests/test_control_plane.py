"""Tests for the announcements of the lease holder and the retirement of its instance id."""

import asyncio
import unittest

from ...http import HttpClient
from ...leases import LeaseTerm
from ...objects import HostList, MemoryObjectStore
from ...placement.measure import make_deployment, report_initial_copies
from ..control_plane import REPEAT_PERIOD_S, ControlPlane
from ..shared_hosts import SharedHosts

UPSTREAMS = 6


class ResidencyAnnouncementTest(unittest.TestCase):
    """A lease holder with six upstreams and a manual clock."""

    def setUp(self) -> None:
        client = HttpClient()
        self.announced: list[str] = []
        self.control = ControlPlane(
            "s1",
            "n1:a",
            9.0,
            MemoryObjectStore(),
            SharedHosts(HostList(client, "127.0.0.1:1", "d1")),
            client,
            "",
            lambda upstream, copies: self.announced.append(upstream),
            lambda area, epoch: None,
        )
        self.deployment = make_deployment(UPSTREAMS, UPSTREAMS)
        self.control.update_deployment(self.deployment)
        self.now = 1000.0
        self.take_over(1)

    def take_over(self, epoch: int) -> None:
        self.control._on_term_change(LeaseTerm(epoch, float("inf")))
        report_initial_copies(self.control._controller, self.deployment, self.now)
        self.control._announce(self.now)

    def test_a_renewal_announces_nothing(self):
        """Guards against messages about every upstream to every peer at each renewal, every 3 s."""
        self.assertEqual(sorted(self.announced), sorted(self.deployment.upstreams))
        self.announced.clear()
        for renewal in range(5):
            self.control._on_term_change(LeaseTerm(1, 1e9 + renewal))
            self.control._announce(self.now)
        self.assertEqual(self.announced, [])

    def test_unchanged_upstreams_are_announced_in_rotation(self):
        """Guards against peers that start later and never receive unchanged upstreams."""
        self.announced.clear()
        for _ in range(UPSTREAMS):
            self.now += REPEAT_PERIOD_S
            for _ in range(3):
                self.control._announce(self.now)
        self.assertEqual(sorted(self.announced), sorted(self.deployment.upstreams))

    def test_a_new_term_announces_everything(self):
        """Guards against peers that keep the announcements of an earlier lease holder."""
        self.announced.clear()
        self.control._on_term_change(None)
        self.take_over(2)
        self.assertEqual(sorted(self.announced), sorted(self.deployment.upstreams))


if __name__ == "__main__":
    unittest.main()


class InstanceRetirementTest(unittest.IsolatedAsyncioTestCase):
    """A lease holder whose term lapses because the object API is down."""

    async def test_lapsed_term_retires_the_instance(self):
        """Guards against a next holder that counts this instance's last reservations forever.

        Also guards against a process that waits for the end of a lease that it held itself.
        """
        client, store = HttpClient(), MemoryObjectStore()
        hosts = SharedHosts(HostList(client, "127.0.0.1:1", "d1"))
        control = ControlPlane(
            "s1", "n1:a", 2.0, store, hosts, client, "", lambda *_: None, lambda *_: None
        )
        control.start()
        async with asyncio.timeout(20):
            while not control.is_holder:
                await asyncio.sleep(0.02)
            store.faults.down = True
            while not control.retired_instances:
                await asyncio.sleep(0.02)
            self.assertFalse(control.is_holder)
            store.faults.down = False
            while not control.is_holder:
                await asyncio.sleep(0.02)
        self.assertEqual(control.retired_instances, ("n1:a",))
        self.assertEqual(control._controller.instance, "n1:a.1")
        await control.close()
