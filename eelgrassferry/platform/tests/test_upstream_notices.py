"""End-to-end tests of nodes whose upstreams speak of themselves in their answers."""

import asyncio
import time

from .node_fleet import NodeFleetCase
from .standin_server import StandinServer

# Time in seconds after which a node sends no more requests to a server that has said that it
# leaves (``drain_ms``).
DRAIN_S = 2.0
# Time in seconds after which a node sends no more requests to a server that has asked for a pause.
REACTION_S = 0.5
# The limit of a server holds in each span of this many seconds, with a tolerance of half of it and
# five requests.
WINDOW_S = 4.0


class LeavingTest(NodeFleetCase):
    """A server says in its answers that it leaves, and its registration stays as it is."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers = [await self.add_server("desk", f"i-desk{n}") for n in range(2)]
        self.engines = [await self.add_server("chat", f"i-engine{n}", "m0") for n in range(2)]
        await self.start_nodes()
        await self.learn_latencies(self.servers)

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


class LapsedRegistrationTest(NodeFleetCase):
    """The only server of a service says in its answers that it leaves, and then loses its
    registration for a moment.
    """

    NODES = 2

    async def test_server_gets_no_requests_when_its_registration_is_back(self):
        """Guards against a violation of DRAIN: the requests that wait for a server are sent to one
        that has said long before that it leaves (review case 8).
        """
        server = await self.add_server("desk", "i-desk")
        await self.start_nodes()
        server.is_leaving = True
        await self.call_steadily("/look/x", per_s=20.0, for_s=0.5)
        entry = self.store.spec("servers", "i-desk")
        await asyncio.sleep(DRAIN_S)
        await self.store.remove("servers", "i-desk")
        await asyncio.sleep(0.5)
        received = len(server.received)
        calls = asyncio.ensure_future(self.call_steadily("/look/x", per_s=20.0, for_s=2.0))
        await asyncio.sleep(0.5)
        await self.store.write("servers", "i-desk", entry)
        statuses = {response.status for _, response in await calls}
        self.assertEqual(len(server.received), received)
        self.assertEqual(statuses, {503})


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
        await self.learn_latencies(self.servers)
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


class LimitTest(NodeFleetCase):
    """Servers name the requests per second that they take from all nodes together."""

    LIMIT_PER_S = 3.0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers = [await self.add_server("desk", f"i-desk{n}") for n in range(2)]
        await self.start_nodes()
        # A busy machine delays answers by tens of milliseconds. Next to this time, that does not
        # make one server look slower than the other.
        await self.learn_latencies(self.servers, pause_s=0.15)

    async def name_limit(self, *servers: StandinServer) -> float:
        """Let servers name their limit, and return the time from which on it has to be kept."""
        for server in servers:
            server.limit = str(self.LIMIT_PER_S)
        await self.call_steadily("/look/x", per_s=30.0, for_s=1.0)
        return time.monotonic()

    def check_limit(self, server: StandinServer, since: float) -> None:
        """Check that a server got no more than the rule allows, and most of what it takes."""
        arrivals = [at for at in server.received_at if at >= since]
        most = max(sum(at <= other < at + WINDOW_S for other in arrivals) for at in arrivals)
        self.assertLessEqual(most, 1.5 * WINDOW_S * self.LIMIT_PER_S + 5)
        expected = self.LIMIT_PER_S * (arrivals[-1] - arrivals[0])
        self.assertGreaterEqual(len(arrivals), 0.6 * expected)

    async def test_requests_beyond_the_limit_go_elsewhere(self):
        """Guards against a violation of LIMIT: a server gets far more requests than it takes."""
        limited = self.servers[0]
        since = await self.name_limit(limited)
        answers = await self.call_steadily("/look/x", per_s=40.0, for_s=6.0)
        self.assertEqual({response.status for _, response in answers}, {200})
        self.check_limit(limited, since)

    async def test_requests_beyond_all_limits_are_refused_at_once(self):
        """Guards against a violation of LIMIT, and against callers that wait until their deadline
        or are not told when they can be served.
        """
        since = await self.name_limit(*self.servers)
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        answers = await self.call_steadily("/book/x", per_s=40.0, for_s=6.0)
        self.assertLess(loop.time() - begun_at, 8.0)
        for server in self.servers:
            self.check_limit(server, since)
        refused = [response for _, response in answers if response.status == 503]
        self.assertEqual({response.status for _, response in answers}, {200, 503})
        waits = [float(response.header("retry-after")) for response in refused]
        self.assertGreater(min(waits), 0.0)
        self.assertLess(max(waits), 2.0)

    async def test_limit_is_kept_while_nodes_stop_and_start(self):
        """Guards against a violation of LIMIT when the coordinator is killed, another node follows
        it and a further one joins.
        """
        since = await self.name_limit(*self.servers)
        calls = asyncio.ensure_future(self.call_steadily("/look/x", per_s=40.0, for_s=12.0))
        await asyncio.sleep(2.0)
        coordinator = self.log_of("coordination begun")
        self.processes[coordinator].kill()
        await asyncio.sleep(3.0)
        await self.start_node(self.NODES)
        await calls
        for server in self.servers:
            self.check_limit(server, since)

    async def test_limit_that_is_not_named_any_more_ends(self):
        """Guards against a limit that is kept for ever."""
        limited = self.servers[0]
        await self.name_limit(limited)
        limited.limit = ""
        before = len(limited.received)
        await self.call_steadily("/look/x", per_s=60.0, for_s=3.0)
        self.assertGreater(len(limited.received) - before, 2 * 3.0 * self.LIMIT_PER_S)


def node_of(request_id: str) -> str:
    """Return the node to which a request was sent."""
    return request_id.partition("-")[0]
