"""Tests of the token stream against an engine that misbehaves."""

import json
import unittest

from result import Ok

from ...http import format_event
from ..engine_client import EngineFailureKind, EngineStream


class FakeStream:
    """Hands out prepared parts of a body."""

    peer = "engine"

    def __init__(self, *parts: bytes) -> None:
        self._parts = list(parts)

    async def read(self):
        """Return the next part, or the end."""
        return Ok(self._parts.pop(0) if self._parts else b"")

    def close(self) -> None:
        """Do nothing."""


def token(index: int, request_id: str = "r1") -> bytes:
    """Return one event."""
    event = {"id": request_id, "index": index, "token": f"t{index}", "version": "1"}
    return format_event(json.dumps(event))


DONE = format_event("[DONE]")


async def read_all(stream: EngineStream) -> list[str]:
    """Return the texts of a stream that ends well."""
    texts = []
    while not stream.done:
        texts += [t.text for t in (await stream.read()).unwrap()]
    return texts


class EngineStreamTest(unittest.IsolatedAsyncioTestCase):
    """One stream of request r1 at a time."""

    async def test_crossed_and_doubled_events_are_dropped(self):
        """Guards against another request's tokens, or one token twice, in an answer."""
        body = token(0) + token(0, "r2") + token(0) + token(1) + DONE
        stream = EngineStream(FakeStream(body), "r1", 0)
        self.assertEqual(await read_all(stream), ["t0", "t1"])
        self.assertEqual((stream.crossed, stream.doubled), (1, 1))

    async def test_resumed_stream_skips_what_the_caller_has(self):
        """Guards against repeated tokens from an engine that ignores where to resume."""
        stream = EngineStream(FakeStream(token(0) + token(1), token(2) + DONE), "r1", 1)
        self.assertEqual(await read_all(stream), ["t1", "t2"])

    async def test_gaps_and_early_ends_are_failures(self):
        """Guards against an answer with a hole that is passed off as whole."""
        for parts in ((token(0) + token(2),), (token(0),), (format_event("{}"),)):
            stream = EngineStream(FakeStream(*parts), "r1", 0)
            read = await stream.read()
            if read.is_ok():
                read = await stream.read()
            self.assertEqual(read.unwrap_err().kind, EngineFailureKind.BROKEN)
