"""Tests of the links between nodes."""

import asyncio
import unittest
import unittest.mock

from ...eventloop.work import EVENTS_PER_STEP
from ...forwarding.tests.fake_transport import FakeTransport
from ...peers.frame import Frame, encode_frame
from ..peer_link import PeerLink


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    """Both ends of a link over loopback."""

    async def asyncSetUp(self):
        self.frames = []
        self.frame_received = asyncio.Event()
        self.closed = asyncio.Event()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: PeerLink(self.record_frame, lambda _link: self.closed.set()), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        self.address = server.sockets[0].getsockname()
        self.link = PeerLink(lambda *_: None, lambda _link: None)
        await loop.create_connection(lambda: self.link, *self.address)
        self.addCleanup(self.link.close)

    def record_frame(self, _link, frame):
        self.frames.append(frame)
        self.frame_received.set()

    async def receive(self, count):
        async with asyncio.timeout(5.0):
            while len(self.frames) < count:
                self.frame_received.clear()
                await self.frame_received.wait()

    async def test_frames_arrive_as_they_were_sent(self):
        """Guards against frames that are lost or merged by the compression."""
        sent = [Frame("view", {"number": n, "names": ["i-7f3a91c2"] * n}) for n in range(40)]
        for frame in sent:
            self.link.send_bytes(encode_frame(frame))
        await self.receive(len(sent))
        self.assertEqual(self.frames, sent)

    async def test_frame_larger_than_one_decompressed_part(self):
        """Guards against a large frame that is truncated where its decompression is split."""
        sent = Frame("copy", {"text": "x" * 900_000})
        self.link.send_bytes(encode_frame(sent))
        await self.receive(1)
        self.assertEqual(self.frames, [sent])

    async def test_malformed_bytes_close_the_link(self):
        """Guards against bytes of a peer of another version that are decoded by chance."""
        _reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(b"\xff\xff\xff not a compressed frame")
        async with asyncio.timeout(5.0):
            await self.closed.wait()
        self.assertEqual(self.frames, [])

    async def test_repeated_frames_are_small(self):
        """Guards against views to 69 nodes that repeat every name uncompressed."""
        written = []
        self.link._transport = transport = unittest.mock.Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.write.side_effect = written.append
        frame = encode_frame(Frame("view", {"engines": {f"i-{n:08x}": [n] for n in range(20)}}))
        for _ in range(2):
            self.link.send_bytes(frame)
        self.assertLess(len(written[1]), len(frame) / 5)

    async def test_many_frames_are_handled_in_steps(self):
        """Guards against a node that stands still while it handles all frames of a peer, or more
        than all that a few bytes expand to.
        """
        received = []
        link = PeerLink(lambda _link, frame: received.append(frame.body), lambda _link: None)
        transport = FakeTransport()
        link._transport = transport
        sender = PeerLink(lambda *_: None, lambda _link: None)
        sender._transport = FakeTransport()
        sender.send_bytes(b"".join(encode_frame(Frame("x", number)) for number in range(5000)))
        link.data_received(sender._transport.written)
        self.assertLessEqual(len(received), EVENTS_PER_STEP)
        self.assertTrue(transport.is_paused)
        while len(received) < 5000:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(received, list(range(5000)))
        self.assertFalse(transport.is_paused)
