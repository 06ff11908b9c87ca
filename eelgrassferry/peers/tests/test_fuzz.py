"""Fuzz tests of the frame codec, the message codecs and the handshake."""

import asyncio
import unittest
from random import Random

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ... import orders  # noqa: F401  registers the messages of the journal
from ..errors import FrameTooLarge, VersionMismatch
from ..frame import HEADER, Frame, FrameDecoder, encode_frame
from ..gossip_messages import Delta
from ..gossip_state import GossipState
from ..handshake import NONCE_BYTES, Handshake
from ..identity import Identity
from ..link import Link
from ..message import _by_kind, decode_message
from .test_mesh import MeshTestCase, Ping, Pong, until

FUZZ_SETTINGS = settings(derandomize=True, max_examples=150, deadline=None, database=None)

SCALARS = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text()
KEYS = st.text(max_size=4) | st.binary(max_size=4)
PLAIN = st.recursive(
    SCALARS | st.binary(),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=12,
)


def add_length(payload: bytes) -> bytes:
    return HEADER.pack(len(payload)) + payload


def decode_all(decoder: FrameDecoder):
    """Return the decoded frames and the error, or None if all input was decoded."""
    frames = []
    while True:
        match decoder.next():
            case Ok(None):
                return frames, None
            case Ok(frame):
                frames.append(frame)
            case Err(error):
                return frames, error


class FrameFuzzTest(unittest.TestCase):
    """Decoding of arbitrary bytes from the network."""

    @FUZZ_SETTINGS
    @given(st.lists(st.binary(max_size=40), max_size=10))
    def test_any_bytes_give_frames_or_an_error(self, chunks):
        """Guards against a frame decoder that raises an exception on arbitrary bytes."""
        decoder = FrameDecoder(1000)
        for chunk in chunks:
            decoder.feed(chunk)
            decode_all(decoder)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=60) | PLAIN.map(msgpack.packb))
    def test_any_payload_gives_a_frame_or_an_error(self, payload):
        """Guards against a payload of unexpected types that raises or is accepted as a frame."""
        decoder = FrameDecoder()
        decoder.feed(add_length(payload))
        frames, error = decode_all(decoder)
        self.assertTrue(frames or error)
        for frame in frames:
            types = (type(frame.kind), type(frame.request_id), type(frame.answer_to))
            self.assertEqual(types, (str, int, int))

    @FUZZ_SETTINGS
    @given(st.lists(st.tuples(st.text(), PLAIN), max_size=5), st.integers(0, 2**32))
    def test_frames_survive_any_chunking(self, bodies, seed):
        """Guards against frames that are lost or changed when they arrive in several chunks."""
        data = b"".join(encode_frame(Frame(kind, body, 7, 9)) for kind, body in bodies)
        rng, decoder, frames = Random(seed), FrameDecoder(), []
        while data:
            size = rng.randint(1, 30)
            decoder.feed(data[:size])
            data = data[size:]
            found, error = decode_all(decoder)
            self.assertIsNone(error)
            frames += found
        sent = [msgpack.packb((kind, body)) for kind, body in bodies]
        self.assertEqual([msgpack.packb((f.kind, f.body)) for f in frames], sent)

    def test_limits_and_versions_are_errors(self):
        """Guards against allocation of an oversized frame, other versions and stack overflow."""
        for data, kind in (
            (HEADER.pack(2**32 - 1), FrameTooLarge),
            (add_length(msgpack.packb({"v": 2, "k": "x"})), VersionMismatch),
        ):
            decoder = FrameDecoder()
            decoder.feed(data)
            self.assertIsInstance(decode_all(decoder)[1], kind)
        decoder = FrameDecoder()
        decoder.feed(add_length(b"\x91" * 100_000))
        self.assertIsNotNone(decode_all(decoder)[1])

    @FUZZ_SETTINGS
    @given(st.sampled_from(sorted(_by_kind)), PLAIN)
    def test_any_body_gives_a_message_or_an_error(self, kind, body):
        """Guards against a message codec that raises an exception on an arbitrary body."""
        self.assertIsInstance(decode_message(kind, body), Ok | Err)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=200))
    def test_any_gossip_entries_are_applied_or_an_error(self, packed):
        """Guards against a gossip state that raises an exception on arbitrary delta bytes."""
        state = GossipState("a", "d1", 1, Random(1))
        state.set_peers({"b": "d1"}, {"b"})
        state.apply("b", Delta(packed, ("x",)), 1.0)
        state.next_round(2.0)


class HandshakeFuzzTest(unittest.TestCase):
    """Handshakes with a peer that does not possess the key."""

    def make_handshake(self, name, key, *, dialing):
        identity = Identity(name, "d1", f"{name}-1", "ip:1")
        nonce = (name[0].encode() + key.encode()).ljust(NONCE_BYTES, b"x")
        return Handshake(identity, (key,), nonce, dialing=dialing)

    KINDS = st.sampled_from(["hello", "challenge", "proof", "welcome", "x"])

    @FUZZ_SETTINGS
    @given(st.booleans(), st.lists(st.tuples(KINDS, PLAIN), max_size=6))
    def test_any_frames_never_prove_a_peer(self, dialing, frames):
        """Guards against a frame that raises an exception or is accepted as a proof."""
        handshake = self.make_handshake("a", "k", dialing=dialing)
        for kind, body in frames:
            if isinstance(handshake.receive(Frame(kind, body)), Err):
                break
        self.assertFalse(handshake.done)

    @FUZZ_SETTINGS
    @given(st.integers(0, 3), st.binary(min_size=1, max_size=40), st.integers(0, 200))
    def test_any_modified_frame_is_detected(self, number, noise, at):
        """Guards against a handshake whose frames can be modified in transit."""
        dialer, acceptor = self.make_handshake("a", "k", dialing=True), self.make_handshake(
            "b", "k", dialing=False
        )
        frame, sides = dialer.start(), (acceptor, dialer)
        for step in range(4):
            if step == number:
                data = bytearray(msgpack.packb(frame.body))
                start = at % len(data)
                data[start : start + len(noise)] = noise
                try:
                    body = msgpack.unpackb(bytes(data))
                except Exception:
                    return
                if body == frame.body:
                    return
                frame = Frame(frame.kind, body)
            got = sides[step % 2].receive(frame)
            if isinstance(got, Err):
                return
            frame = got.ok_value
        # The welcome frame has no content that could be modified.
        self.assertEqual(number, 3)

    def test_reflected_and_foreign_proofs_are_refused(self):
        """Guards against a peer that reflects this node's proof or signs with another key."""
        dialer, acceptor = self.make_handshake("a", "k", dialing=True), self.make_handshake(
            "b", "z", dialing=False
        )
        challenge = acceptor.receive(dialer.start()).unwrap()
        self.assertIsInstance(dialer.receive(challenge), Err)
        acceptor = self.make_handshake("b", "k", dialing=False)
        challenge = acceptor.receive(self.make_handshake("a", "k", dialing=True).start()).unwrap()
        reflected = Frame("proof", [challenge.body[2]])
        self.assertIsInstance(acceptor.receive(reflected), Err)


class LinkFuzzTest(MeshTestCase):
    """Effect of malformed frames on other links."""

    async def test_malformed_frames_affect_only_their_own_link(self):
        """Guards against a peer whose frames stop the process or close the links of other peers."""
        a, b = await self.pair()
        rng = Random(5)
        host, _, port = a.address.rpartition(":")
        for number in range(60):
            reader, writer = await asyncio.open_connection(host, int(port))
            if number % 2:
                link = Link(reader, writer)
                me = Identity(f"m{number}", "d1", "i", "ip:1")
                self.assertIsInstance(await link.perform_handshake(me, ("k",), dialing=True), Ok)
            payload = rng.randbytes(rng.randrange(1, 60))
            kind = rng.choice(["test.ping", "peers.delta", "orders.call", "unknown"])
            malformed = {
                "v": 1,
                "k": kind,
                "b": rng.choice([None, [[]], {}, 5]),
                "q": number,
                "a": 0,
            }
            choice = (
                payload,
                add_length(payload),
                add_length(msgpack.packb(malformed)),
                HEADER.pack(2**31),
            )
            writer.write(choice[number // 2 % 4])
            writer.write(add_length(msgpack.packb({"v": 1, "k": kind, "b": 1, "a": number})))
            if number % 3:
                writer.write_eof()
            await asyncio.sleep(0)
            writer.close()
        await until(lambda: len(a.peers) == 1)
        self.assertEqual(await b.request("a", Ping(1), 2.0), Ok(Pong(1)))
        self.assertEqual(await a.request("b", Ping(2), 2.0), Ok(Pong(2)))
        self.assertGreater(a.metrics.counters["peers.malformed"], 0)
