"""Tests of a node whose servers fail requests in different ways at the same time."""

from .node_fleet import NodeFleetCase
from .raw_server import RawServer

OWN_ERROR = (
    "HTTP/1.1 500 Internal Server Error\r\nEelgrassferry-Request-Id: {id}\r\n"
    "Eelgrassferry-Server-Seal: 3e1b.07\r\nContent-Length: 4\r\n\r\n"
)
STREAMS = 6


class FailedResumptionTest(NodeFleetCase):
    """One engine breaks off its streams, and the other one answers with an error."""

    NODES = 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add_server("desk", "i-desk")
        engine = await self.add_server("chat", "i-engine", "m0")
        engine.break_after_events = 2
        self.failing = RawServer(self.store, "chat", "i-failing")
        self.failing.head, self.failing.parts = OWN_ERROR, (b"oops",)
        await self.failing.start(("m0",))
        self.addAsyncCleanup(self.failing.stop)
        await self.start_nodes()

    async def test_requests_after_the_streams_are_answered(self):
        """Guards against a node that never answers again after a resumable stream broke off and its
        other attempt got an error (review case 1).
        """
        (front,) = self.fronts
        for _ in range(STREAMS):
            sent = await self.send(front, "/batch/x", "m0")
            # Both attempts have failed: the stream breaks off behind the events that it had.
            self.assertTrue(sent.is_err() or sent.ok_value.status == 500, sent)
        self.assertEqual((await self.call(front, "/look/x")).status, 200)
        self.assertEqual(self.log_count("request abandoned"), 0)
