"""Tests of bodies that do not end, or that are too large."""

import zlib

from ....peers.frame import HEADER
from .crowd import Crowd
from .door_case import BIG, MB, DoorCase, make_head

CROWD = 60
LINKS = 150
PIECE = 16 * 1024
CHUNK = b"1000\r\n" + bytes(4096) + b"\r\n"
LENGTH = f"Content-Length: {BIG}"
CHUNKED = "Transfer-Encoding: chunked"


class UnfinishedBodyTest(DoorCase):
    """Bodies of legal size that stop just short of their end.

    Each test guards against a node that runs out of memory because it keeps them all.
    """

    async def run_crowd(self, address: str, pieces: list[bytes], clients: int = CROWD) -> None:
        crowd = Crowd(address)
        for _ in range(clients):
            crowd.add(pieces)
        await self.check(crowd)

    async def test_in_one_piece_on_a_route(self):
        await self.run_crowd(self.front, [make_head("/book/x", LENGTH), bytes(BIG - 1)])

    async def test_in_small_pieces_on_a_route(self):
        pieces = [bytes(PIECE)] * (BIG // PIECE - 1)
        await self.run_crowd(self.front, [make_head("/book/x", LENGTH), *pieces])

    async def test_in_chunks_on_a_route(self):
        chunks = [CHUNK] * (BIG // 4096 - 1)
        await self.run_crowd(self.front, [make_head("/book/x", CHUNKED), *chunks])

    async def test_without_a_route(self):
        await self.run_crowd(self.front, [make_head("/none/x", LENGTH), bytes(BIG - 1)])

    async def test_at_the_ready_path_of_the_front(self):
        head = make_head("/eelgrassferry/ready", LENGTH)
        await self.run_crowd(self.front, [head, bytes(BIG - 1)])

    async def test_at_the_ready_address(self):
        head = make_head("/eelgrassferry/ready", LENGTH)
        await self.run_crowd(self.ready, [head, bytes(BIG - 1)])

    async def test_at_the_metrics_address(self):
        await self.run_crowd(self.metrics, [make_head("/metrics", CHUNKED), *[CHUNK] * 1000])

    async def test_frames_at_the_peer_address(self):
        compressor = zlib.compressobj(3, zlib.DEFLATED, -13)
        frame = HEADER.pack(1_100_000) + bytes(1_000_000)
        data = compressor.compress(frame) + compressor.flush(zlib.Z_SYNC_FLUSH)
        await self.run_crowd(self.control, [data], LINKS)


class TooLargeBodyTest(DoorCase):
    """Bodies far over the limit, which a node must not keep up to the limit."""

    async def test_length_says_so(self):
        """Guards against memory that is used for bodies whose length already exceeds the limit."""
        crowd = Crowd(self.front)
        for _ in range(CROWD):
            crowd.add([make_head("/book/x", f"Content-Length: {64 * MB}"), *[bytes(MB)] * 16])
        await self.check(crowd)

    async def test_chunks_without_end(self):
        """Guards against memory that is used for chunks of bodies that exceed the limit."""
        crowd = Crowd(self.front)
        for _ in range(CROWD):
            crowd.add([make_head("/book/x", CHUNKED), *[CHUNK * 16] * 256])
        await self.check(crowd)
