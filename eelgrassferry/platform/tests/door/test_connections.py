"""Tests of crowds that use up other things than bodies do: fields, answers and descriptors."""

from .crowd import Crowd
from .door_case import MB, DoorCase, make_head

SENT_AHEAD = make_head("/book/slow", "Content-Length: 0") * 1000
BIG_REQUEST = make_head("/look/big", "Content-Length: 0")
# Names of one byte would share their objects in the node.
FIELDS = [f"{chr(97 + i % 26)}{chr(97 + i // 26 % 26)}:" for i in range(2650)]


class FieldsTest(DoorCase):
    """Heads of legal size."""

    MEMORY_MB = 100

    async def test_very_many_short_fields(self):
        """Guards against a node that runs out of memory, because a field takes more than its
        bytes.
        """
        crowd = Crowd(self.front)
        for _ in range(180):
            crowd.add([make_head("/book/x", *FIELDS, "Content-Length: 2"), b"x"])
        await self.check(crowd)


class SentAheadTest(DoorCase):
    """Requests that are sent ahead on one connection, without reading the answers."""

    async def test_requests_behind_a_slow_one(self):
        """Guards against a node that keeps all requests behind the one that it answers."""
        self.server.pause_s = 60.0
        crowd = Crowd(self.front)
        for _ in range(40):
            crowd.add([SENT_AHEAD] * (4 * MB // len(SENT_AHEAD)))
        await crowd.settle()
        self.server.pause_s = 0.0
        await self.check(crowd)

    async def test_answers_pile_up(self):
        """Guards against a node that keeps all answers which a client does not read."""
        crowd = Crowd(self.front)
        for _ in range(20):
            crowd.add([BIG_REQUEST * 16])
        await self.check(crowd)

    async def test_answers_without_a_route(self):
        """Guards against a node that hangs while it answers what was sent ahead."""
        crowd = Crowd(self.front)
        for _ in range(20):
            crowd.add([make_head("/none/x", method="GET") * 1000] * 20)
        await self.check(crowd)


class SlowTest(DoorCase):
    """Clients that send or read very slowly, or that stop half-way."""

    async def test_slow_readers(self):
        """Guards against a node that keeps an answer for each of many slow readers."""
        crowd = Crowd(self.front)
        for _ in range(80):
            crowd.add([BIG_REQUEST])
        await self.check(crowd)

    async def test_slow_senders(self):
        """Guards against a node whose descriptors are all used by requests in arrival."""
        crowd = Crowd(self.front, pause_s=0.2)
        for _ in range(300):
            crowd.add([bytes([byte]) for byte in make_head("/book/x", "Content-Length: 4")])
        await self.check(crowd)

    async def test_idle_connections(self):
        """Guards against a node whose descriptors are all used by connections without requests."""
        for address in (self.front, self.ready, self.metrics, self.control):
            crowd = Crowd(address)
            for _ in range(300):
                crowd.add([])
            with self.subTest(address=address):
                await self.check(crowd)

    async def test_stops_half_way(self):
        """Guards against a node that keeps what belonged to clients which have left."""
        for number in range(4):
            crowd = Crowd(self.front)
            for _ in range(20):
                head = make_head("/book/x", f"Content-Length: {4 * MB}")
                crowd.add([head, bytes(MB // 2)] if number % 2 else [BIG_REQUEST, head[:40]])
            await self.check(crowd)
