"""End-to-end tests of nodes whose upstreams speak of themselves in their answers."""

import time

from .node_fleet import NodeFleetCase

# Time in seconds after which a node sends no more requests to a server that has said that it
# leaves (``drain_ms``).
DRAIN_S = 2.0


class LeavingTest(NodeFleetCase):
    """A server says in its answers that it leaves, and its registration stays as it is."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers = [await self.add_server("desk", f"i-desk{n}") for n in range(2)]
        self.engines = [await self.add_server("chat", f"i-engine{n}", "m0") for n in range(2)]
        await self.start_nodes()

    async def test_plain_server_that_leaves_gets_no_new_requests(self):
        """Guards against a violation of DRAIN: requests to a server that has said in its answers,
        and nowhere else, that it leaves.
        """
        await self.check_left("/look/x", "", self.servers)

    async def test_engine_that_leaves_gets_no_new_requests(self):
        """Guards against the same violation on streams, whose head comes before the end."""
        await self.check_left("/chat/x", "m0", self.engines)

    async def check_left(self, path, model, servers):
        leaving, other = servers
        leaving.is_leaving = True
        await self.call_steadily(path, per_s=30.0, for_s=1.0, model=model)
        self.assertTrue(leaving.received)
        told_at = time.monotonic()
        answers = await self.call_steadily(path, per_s=20.0, for_s=DRAIN_S + 1.0, model=model)
        self.assertEqual({response.status for _, response in answers}, {200})
        self.assertEqual([at for at in leaving.received_at if at > told_at], [])
        self.assertTrue(other.received)
