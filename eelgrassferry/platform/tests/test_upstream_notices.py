"""End-to-end tests of nodes whose upstreams speak of themselves in their answers."""

import time

from .node_fleet import NodeFleetCase
from .standin_server import StandinServer

# Time in seconds after which a node sends no more requests to a server that has said that it
# leaves (``drain_ms``).
DRAIN_S = 2.0
# Time in seconds after which a node sends no more requests to a server that has asked for a pause.
REACTION_S = 0.5


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


class PauseTest(NodeFleetCase):
    """Servers that turn requests away ask for a pause."""

    PAUSE_S = 2.5

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers = [await self.add_server("desk", f"i-desk{n}") for n in range(2)]
        for server in self.servers:
            server.decline_pause_s = self.PAUSE_S
        await self.start_nodes()

    def requests_in_pauses(self, server: StandinServer) -> list[int]:
        """Return, for each request that a server has declined, how many came from the same node
        during the pause, without its first half second.
        """
        arrivals = [
            (at, node_of(req.header("eelgrassferry-request-id") or ""))
            for at, req in zip(server.received_at, server.received, strict=True)
        ]
        return [
            sum(
                declined_at + REACTION_S < at < declined_at + self.PAUSE_S
                and node == node_of(request_id)
                for at, node in arrivals
            )
            for declined_at, request_id in server.declined
        ]

    async def test_server_gets_no_requests_during_its_pause(self):
        """Guards against a violation of BUDGET: more than two requests of a node reach a server
        that has answered it 503 with Retry-After.
        """
        paused = self.servers[0]
        # The nodes learn that both servers are equally fast.
        for server in self.servers:
            server.pause_s = 0.05
        await self.call_steadily("/book/x", per_s=60.0, for_s=1.0)
        paused.decline_count = 3
        answers = await self.call_steadily("/book/x", per_s=30.0, for_s=self.PAUSE_S + 1.5)
        self.assertEqual({response.status for _, response in answers}, {200})
        self.assertTrue(paused.declined)
        self.assertLessEqual(max(self.requests_in_pauses(paused)), 2)
        self.assertGreater(paused.received_at[-1], paused.declined[0][0] + self.PAUSE_S)

    async def test_requests_are_refused_at_once_while_all_servers_pause(self):
        """Guards against the same violation, and against callers that wait in vain or are asked to
        return too early.
        """
        self.PAUSE_S = 20.0
        for server in self.servers:
            server.decline_pause_s, server.decline_count = self.PAUSE_S, 100
        await self.call_steadily("/book/x", per_s=30.0, for_s=1.0)
        for _, response in await self.call_steadily("/book/x", per_s=30.0, for_s=2.0):
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.header("retry-after")), 15.0)
        for server in self.servers:
            self.assertLessEqual(max(self.requests_in_pauses(server)), 2)


def node_of(request_id: str) -> str:
    """Return the node to which a request was sent."""
    return request_id.partition("-")[0]
