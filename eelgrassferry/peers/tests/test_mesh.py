"""Tests of links between nodes over the loopback interface."""

import asyncio
import struct
import unittest
from dataclasses import dataclass

import msgpack
from result import Err, Ok
from structlog.testing import capture_logs

from ...metrics import Metrics
from .. import PeerFailure, PeerMesh, message


@message("test.ping")
@dataclass(frozen=True)
class Ping:
    number: int


@message("test.pong")
@dataclass(frozen=True)
class Pong:
    number: int
    note: str | None = None


async def until(condition, timeout_s: float = 5.0) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class MeshTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class that starts and links meshes; log entries are captured in ``logs``."""

    def setUp(self):
        self.logs = self.enterContext(capture_logs())

    async def start(self, name: str, *, domain="d1", instance=None, keys=("k",), listen=None):
        instance = instance or f"{name}-1"
        mesh = PeerMesh(name, domain, instance, listen or "127.0.0.1:0", keys, metrics=Metrics())
        mesh.handle(Ping, lambda peer, ping: Pong(ping.number))
        await mesh.start()
        self.addAsyncCleanup(mesh.close)
        return mesh

    async def pair(self):
        a, b = await self.start("a"), await self.start("b", domain="d2")
        a.set_targets({"a": a.address, "b": b.address})
        b.set_targets({"a": a.address, "b": b.address})
        await until(lambda: a.is_connected("b") and b.is_connected("a"))
        return a, b


class MeshTest(MeshTestCase):
    """Requests and failures on links between two or three nodes."""

    async def test_requests_get_their_own_answers(self):
        """Guards against answers that are matched with the wrong request."""
        a, b = await self.pair()

        async def slow_for_even(peer, ping):
            await asyncio.sleep(0.01 if ping.number % 2 == 0 else 0)
            return Pong(ping.number)

        b.handle(Ping, slow_for_even)
        got = await asyncio.gather(*(a.request("b", Ping(n), 2.0) for n in range(20)))
        self.assertEqual(got, [Ok(Pong(n)) for n in range(20)])

    async def test_late_answer_is_dropped_and_counted(self):
        """Guards against a late answer that completes a later request."""
        a, b = await self.pair()
        release = asyncio.Event()

        async def slow_for_one(peer, ping):
            if ping.number == 1:
                await release.wait()
            return Pong(ping.number)

        b.handle(Ping, slow_for_one)
        got = await a.request("b", Ping(1), 0.02)
        self.assertEqual((got.err_value.failure, got.err_value.sent), (PeerFailure.TIMEOUT, True))
        release.set()
        self.assertEqual(await a.request("b", Ping(2), 2.0), Ok(Pong(2)))
        await until(lambda: a.metrics.counters["peers.late_answers"] == 1)

    async def test_blocked_peer_is_disconnected_and_reconnects(self):
        """Guards against a block that is effective in only one direction."""
        a, b = await self.pair()
        received = []
        a.handle(Ping, lambda peer, ping: received.append(ping.number))
        a.blocked.add("d2")
        got = await a.request("b", Ping(1), 0.5)
        self.assertEqual((got.err_value.failure, got.err_value.sent), (PeerFailure.UNREACHABLE, 0))
        b.send("a", Ping(7))
        await until(lambda: not b.is_connected("a"))
        self.assertFalse(b.send("a", Ping(8)))
        self.assertEqual(received, [])
        a.blocked.clear()
        await until(lambda: a.is_connected("b") and b.is_connected("a"))
        b.send("a", Ping(9))
        await until(lambda: received == [9])

    async def test_restarted_peer_is_linked_again(self):
        """Guards against a request that hangs on a stopped peer and against a lost reconnect."""
        a, b = await self.pair()
        stuck = asyncio.Event()

        async def wait_forever(peer, ping):
            await stuck.wait()

        b.handle(Ping, wait_forever)
        fut = asyncio.ensure_future(a.request("b", Ping(1), 30.0))
        await asyncio.sleep(0.02)
        await b.close()
        self.assertEqual((await fut).err_value.failure, PeerFailure.LOST)
        await self.start("b", instance="b-2", listen=b.address)
        await until(lambda: a.is_connected("b"))
        self.assertEqual(await a.request("b", Ping(3), 2.0), Ok(Pong(3)))
        self.assertEqual(a.peers[0].instance, "b-2")

    async def test_key_rotation_keeps_nodes_connected(self):
        """Guards against a key rotation that disconnects nodes and against accepting other keys."""
        a, b = await self.start("a", keys=("old", "new")), await self.start(
            "b", keys=("new", "old")
        )
        c = await self.start("c", keys=("other",))
        a.set_targets({"b": b.address, "c": c.address})
        await until(lambda: a.is_connected("b"))
        await until(lambda: a.metrics.counters["peers.handshake_refused"] > 0)
        self.assertFalse(a.is_connected("c") or c.is_connected("a"))

    async def test_unhandled_and_failing_requests_are_answered(self):
        """Guards against a caller that waits for its timeout although the handler has failed."""
        a, b = await self.pair()
        a.handle(Ping, lambda peer, ping: 1 // 0)
        for mesh, target in ((b, "a"), (a, "b")):
            msg = Ping(1) if target == "a" else Pong(1)
            got = await mesh.request(target, msg, 2.0)
            self.assertEqual(got.err_value.failure, PeerFailure.UNHANDLED)

    async def test_other_protocol_version_is_refused(self):
        """Guards against accepting a node with an incompatible protocol version."""
        a = await self.start("a")
        host, _, port = a.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        payload = msgpack.packb({"v": 2, "k": "hello", "b": []})
        writer.write(struct.pack(">I", len(payload)) + payload)
        self.assertEqual(await reader.read(), b"")
        writer.close()
        self.assertEqual(a.metrics.counters["peers.version_refused"], 1)
        self.assertIn("protocol version refused", [line["event"] for line in self.logs])

    async def test_oversized_message_is_refused_before_it_is_sent(self):
        """Guards against sending a frame so large that the receiver closes the link."""
        a, _ = await self.pair()
        got = await a.request("b", Pong(1, "x" * 1_300_000), 2.0)
        self.assertIsInstance(got, Err)
        self.assertEqual(got.err_value.failure, PeerFailure.TOO_LARGE)
        self.assertEqual(await a.request("b", Ping(4), 2.0), Ok(Pong(4)))
