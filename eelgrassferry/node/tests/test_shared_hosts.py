"""Tests for the host list cache."""

import unittest

from result import Err, Ok

from ...objects import Host, HostState, Unavailable
from ..shared_hosts import SharedHosts

HOST = Host("e1", "127.0.0.1:1", "engine", "d1", HostState.LIVE)
DOWN = Err(Unavailable("hosts", "platform", "down", uncertain=False))


class CountingHostList:
    """A host list that counts its reads and returns a prepared result."""

    def __init__(self) -> None:
        self.reads = 0
        self.answer = Ok((HOST,))

    async def read(self):
        self.reads += 1
        return self.answer


class SharedHostsTest(unittest.IsolatedAsyncioTestCase):
    """A cached host list with a manual clock."""

    def setUp(self) -> None:
        self.now = 100.0
        self.hosts = CountingHostList()
        self.shared = SharedHosts(self.hosts, lambda: self.now)

    async def test_recent_list_is_not_read_again(self):
        """Guards against a separate read of the list by each component of a node."""
        await self.shared.read()
        self.now += 1.0
        self.assertEqual(await self.shared.read(max_age_s=1.5), Ok((HOST,)))
        self.assertEqual(self.hosts.reads, 1)

    async def test_old_list_and_failure_are_read_again(self):
        """Guards against cached lists that hide leaving hosts, and against cached failures."""
        await self.shared.read()
        self.now += 1.6
        self.hosts.answer = DOWN
        self.assertEqual(await self.shared.read(max_age_s=1.5), DOWN)
        self.hosts.answer = Ok(())
        self.assertEqual(await self.shared.read(max_age_s=1.5), Ok(()))
        self.assertEqual(self.hosts.reads, 3)

    async def test_read_without_max_age_is_not_cached(self):
        """Guards against an upstream watch that detects leaving upstreams later than its period.

        The upstream watch reads without a maximum age.
        """
        for _ in range(3):
            await self.shared.read()
        self.assertEqual(self.hosts.reads, 3)


if __name__ == "__main__":
    unittest.main()
