"""Tests of answers that a server sends once more, late."""

from .node_fleet import NodeFleetCase

CALLS = 8


class LateRejectionTest(NodeFleetCase):
    """A server that declines a request first and sends the rejection again ahead of an answer."""

    NODES = 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = await self.add_server("desk", "i-desk")
        await self.start_nodes()
        self.server.repeats_declines = True

    async def test_copy_is_not_the_answer_to_the_next_attempt(self):
        """Guards against a request that is refused although it runs, or that runs twice, because a
        copy of its first rejection is taken for the answer to its next attempt (review case 3).
        """
        before = len(self.server.runs)
        for _ in range(CALLS):
            self.server.decline_count = 1
            answer = await self.call(self.fronts[0], "/book/x")
            self.assertEqual(answer.status, 200)
        runs = self.server.runs[before:]
        self.assertEqual(len(runs), CALLS)
        self.assertEqual(len(set(runs)), CALLS)

    async def test_copy_is_not_the_answer_to_another_request(self):
        """Guards against a copy that is taken for the answer to the next request."""
        for _ in range(CALLS):
            self.server.decline_count = 1
            await self.call(self.fronts[0], "/book/x")
            answer = await self.call(self.fronts[0], "/look/x")
            self.assertEqual(answer.status, 200)
