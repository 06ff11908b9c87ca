"""Tests of the host list that the parts of a node share."""

import unittest

from result import Err, Ok

from ...objects import Host, HostState, Unavailable
from ..shared_hosts import SharedHosts

HOST = Host("e1", "127.0.0.1:1", "engine", "d1", HostState.LIVE)
DOWN = Err(Unavailable("hosts", "platform", "down", uncertain=False))


class CountingHosts:
    """A host list that counts its reads and gives prepared answers."""

    def __init__(self) -> None:
        self.reads = 0
        self.answer = Ok((HOST,))

    async def read(self):
        self.reads += 1
        return self.answer


class SharedHostsTest(unittest.IsolatedAsyncioTestCase):
    """One list on a clock of its own."""

    def setUp(self) -> None:
        self.now = 100.0
        self.hosts = CountingHosts()
        self.shared = SharedHosts(self.hosts, lambda: self.now)

    async def test_a_young_list_is_not_read_again(self):
        """Guards against one read of the whole list for each part of a node."""
        await self.shared.read()
        self.now += 1.0
        self.assertEqual(await self.shared.read(max_age_s=1.5), Ok((HOST,)))
        self.assertEqual(self.hosts.reads, 1)

    async def test_an_old_list_and_a_failure_are_read_again(self):
        """Guards against hosts that leave unnoticed, and against a failure that is remembered."""
        await self.shared.read()
        self.now += 1.6
        self.hosts.answer = DOWN
        self.assertEqual(await self.shared.read(max_age_s=1.5), DOWN)
        self.hosts.answer = Ok(())
        self.assertEqual(await self.shared.read(max_age_s=1.5), Ok(()))
        self.assertEqual(self.hosts.reads, 3)

    async def test_the_watch_always_reads(self):
        """Guards against a leaving upstream that is noticed later than the watch's own period."""
        for _ in range(3):
            await self.shared.read()
        self.assertEqual(self.hosts.reads, 3)


if __name__ == "__main__":
    unittest.main()
