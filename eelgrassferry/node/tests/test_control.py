"""Tests of what the lease holder announces."""

import asyncio
import unittest

from ...http import HttpClient
from ...leases import LeaseTerm
from ...objects import HostList, MemoryObjectStore
from ...placement.measure import make_deployment, report_initial_copies
from ..control import REPEAT_PERIOD_S, Control
from ..shared_hosts import SharedHosts

UPSTREAMS = 6


class AnnounceTest(unittest.TestCase):
    """A holder of six upstreams on a clock of its own."""

    def setUp(self) -> None:
        client = HttpClient()
        self.told: list[str] = []
        self.control = Control(
            "s1",
            "n1:a",
            9.0,
            MemoryObjectStore(),
            SharedHosts(HostList(client, "127.0.0.1:1", "d1")),
            client,
            "",
            lambda upstream, copies: self.told.append(upstream),
            lambda area, epoch: None,
        )
        self.deployment = make_deployment(UPSTREAMS, UPSTREAMS)
        self.control.update_deployment(self.deployment)
        self.now = 1000.0
        self.take_over(1)

    def take_over(self, epoch: int) -> None:
        self.control._take_term(LeaseTerm(epoch, float("inf")))
        report_initial_copies(self.control._controller, self.deployment, self.now)
        self.control._announce(self.now)

    def test_a_renewal_announces_nothing(self):
        """Guards against messages about every upstream to every peer each 3 s."""
        self.assertEqual(sorted(self.told), sorted(self.deployment.upstreams))
        self.told.clear()
        for renewal in range(5):
            self.control._take_term(LeaseTerm(1, 1e9 + renewal))
            self.control._announce(self.now)
        self.assertEqual(self.told, [])

    def test_each_upstream_is_repeated_once_in_a_round(self):
        """Guards against a peer that starts later and never hears of an unchanged upstream."""
        self.told.clear()
        for _ in range(UPSTREAMS):
            self.now += REPEAT_PERIOD_S
            for _ in range(3):
                self.control._announce(self.now)
        self.assertEqual(sorted(self.told), sorted(self.deployment.upstreams))

    def test_a_new_term_announces_everything(self):
        """Guards against peers that hold on to what an earlier holder said."""
        self.told.clear()
        self.control._take_term(None)
        self.take_over(2)
        self.assertEqual(sorted(self.told), sorted(self.deployment.upstreams))


if __name__ == "__main__":
    unittest.main()


class RetireTest(unittest.IsolatedAsyncioTestCase):
    """A holder whose term ends because the object API is down."""

    async def test_lapsed_term_retires_the_instance(self):
        """Guards against a next holder that counts this one's last reservations for ever, and
        against a process that waits for the end of a lease it held itself."""
        client, store = HttpClient(), MemoryObjectStore()
        hosts = SharedHosts(HostList(client, "127.0.0.1:1", "d1"))
        control = Control(
            "s1", "n1:a", 2.0, store, hosts, client, "", lambda *_: None, lambda *_: None
        )
        control.start()
        async with asyncio.timeout(20):
            while not control.is_holder:
                await asyncio.sleep(0.02)
            store.faults.down = True
            while not control.retired:
                await asyncio.sleep(0.02)
            self.assertFalse(control.is_holder)
            store.faults.down = False
            while not control.is_holder:
                await asyncio.sleep(0.02)
        self.assertEqual(control.retired, ("n1:a",))
        self.assertEqual(control._controller.instance, "n1:a.1")
        await control.close()
