"""Tests of the exchange of observations on crashed upstreams between nodes."""

import asyncio
import time
import unittest

from ...objects import MemoryObjectStore
from .test_coordination import WAIT_S, Node

DEADLY = "part:deadly"
# Shortest of the platform's bounds for the time after which all nodes in contact know a verdict.
CONTACT_S = 3.0


class CrashExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Three nodes, of which one or two see upstreams crash."""

    async def asyncSetUp(self):
        self.store = MemoryObjectStore()
        self.nodes = [Node(f"n{i}", self.store, []) for i in range(3)]
        for node in self.nodes:
            await node.start()
            self.addAsyncCleanup(node.stop)
        await self.eventually(lambda: self.leader() and all(n.views for n in self.nodes))

    async def eventually(self, condition, within_s: float = WAIT_S):
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.01)

    def leader(self) -> Node | None:
        return next((node for node in self.nodes if node.leads), None)

    def followers(self) -> list[Node]:
        return [node for node in self.nodes if not node.leads]

    def crash(self, node: Node, number: int) -> None:
        """Let a node see a crash under a request with the deadly part, ``number`` s ago."""
        at = time.monotonic() - number
        node.crashes.record_broken(f"u{number}/1", (DEADLY, f"request:{number}"), at)
        node.crashes.record_ended(f"u{number}/1", at)

    def all_block(self, *nodes: Node) -> bool:
        return all(node.crashes.is_blocked((DEADLY, "request:99")) for node in nodes)

    async def test_crashes_seen_by_different_nodes_lead_to_one_verdict(self):
        """Guards against a deadly part that each node sends until it has seen enough crashes."""
        first, second = self.followers()
        self.crash(first, 1)
        self.crash(second, 2)
        await self.eventually(lambda: self.all_block(*self.nodes), CONTACT_S)

    async def test_verdict_of_the_coordinator_reaches_all_nodes(self):
        """Guards against observations of the coordinator's own requests that it keeps to itself."""
        self.crash(self.leader(), 1)
        self.crash(self.leader(), 2)
        await self.eventually(lambda: self.all_block(*self.nodes), CONTACT_S)

    async def test_late_node_learns_the_verdict(self):
        """Guards against a restarted node that sends what all other nodes refuse."""
        self.crash(self.followers()[0], 1)
        self.crash(self.followers()[0], 2)
        await self.eventually(lambda: self.all_block(*self.nodes), CONTACT_S)
        late = Node("n3", self.store, [])
        await late.start()
        self.addAsyncCleanup(late.stop)
        await self.eventually(lambda: self.all_block(late), CONTACT_S)

    async def test_new_coordinator_combines_what_was_seen_before(self):
        """Guards against a change of the coordinator after which all nodes start from nothing."""
        first, second = self.followers()
        old = self.leader()
        self.crash(first, 1)
        await self.eventually(lambda: second.crashes.all_evidence().broken_runs, CONTACT_S)
        await old.stop()
        self.nodes.remove(old)
        await self.eventually(lambda: self.leader() is not None)
        self.crash(second, 2)
        await self.eventually(lambda: self.all_block(first, second), CONTACT_S)

    async def test_observations_without_a_coordinator_are_sent_to_the_next_one(self):
        """Guards against losing what a node saw while it was cut off from the coordinator."""
        first, _ = self.followers()
        old = self.leader()
        await old.stop()
        self.nodes.remove(old)
        self.crash(first, 1)
        self.crash(first, 2)
        await self.eventually(lambda: self.leader() is not None)
        await self.eventually(lambda: self.all_block(*self.nodes), CONTACT_S)
