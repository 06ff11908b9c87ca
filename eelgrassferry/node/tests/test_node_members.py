"""Tests for updating the membership from the host list."""

import asyncio
import unittest

from result import Ok

from ...metrics import Metrics
from ...objects import Host, HostState
from ...peers import HostEntry
from ..node_members import NodeMembers
from ..shared_hosts import SharedHosts


class FakeHostList:
    """A host list with one node and one engine."""

    async def read(self):
        """Return the hosts."""
        return Ok(
            (
                Host("e1", "127.0.0.1:8000", "engine", "d1", HostState.LIVE),
                Host("n2", "127.0.0.1:9000", "node", "d2", HostState.LEAVING),
            )
        )


class RecordingGossiper:
    """Records the host entries."""

    def __init__(self) -> None:
        self.hosts: tuple[HostEntry, ...] = ()
        self.hosts_set = asyncio.Event()

    def set_hosts(self, hosts) -> None:
        """Record the entries."""
        self.hosts = tuple(hosts)
        self.hosts_set.set()


class NodeMembersTest(unittest.IsolatedAsyncioTestCase):
    """The host entries that the membership receives."""

    async def test_host_entries_have_address_and_domain(self):
        """Guards against swapped address and domain, with which nodes never connect."""
        gossiper = RecordingGossiper()
        members = NodeMembers("n1", "d1", gossiper, SharedHosts(FakeHostList()), Metrics())
        running = asyncio.ensure_future(members.run())
        async with asyncio.timeout(5):
            await gossiper.hosts_set.wait()
        running.cancel()
        self.assertEqual(gossiper.hosts, (HostEntry("n2", "127.0.0.1:9000", "d2", True),))
