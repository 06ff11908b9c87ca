"""Tests of the way from the host list to the membership."""

import asyncio
import unittest

from result import Ok

from ...metrics import Metrics
from ...objects import Host, HostState
from ...peers import HostEntry
from ..node_members import NodeMembers
from ..shared_hosts import SharedHosts


class OneHost:
    """A host list with one node and one engine."""

    async def read(self):
        """Return the list."""
        return Ok(
            (
                Host("e1", "127.0.0.1:8000", "engine", "d1", HostState.LIVE),
                Host("n2", "127.0.0.1:9000", "node", "d2", HostState.LEAVING),
            )
        )


class RecordingGossiper:
    """Keeps the entries it is given."""

    def __init__(self) -> None:
        self.hosts: tuple[HostEntry, ...] = ()
        self.told = asyncio.Event()

    def set_hosts(self, hosts) -> None:
        """Keep the entries."""
        self.hosts = tuple(hosts)
        self.told.set()


class NodeMembersTest(unittest.IsolatedAsyncioTestCase):
    """The host list as the membership gets it."""

    async def test_host_list_entries_keep_address_and_domain_apart(self):
        """Guards against nodes that dial a peer's domain and so never find each other."""
        gossiper = RecordingGossiper()
        members = NodeMembers("n1", "d1", gossiper, SharedHosts(OneHost()), Metrics())
        running = asyncio.ensure_future(members.run())
        async with asyncio.timeout(5):
            await gossiper.told.wait()
        running.cancel()
        self.assertEqual(gossiper.hosts, (HostEntry("n2", "127.0.0.1:9000", "d2", True),))
