"""Tests for the token stream with faulty engines."""

import asyncio
import json
import unittest
import unittest.mock

from result import Err, Ok

from ...http import HttpClient, HttpError, HttpServer, format_event
from .. import engine_client
from ..engine_client import EngineFailureKind, EngineStream, open_stream


class FakeStream:
    """Returns prepared parts of a response body."""

    peer = "engine"

    def __init__(self, *parts: bytes) -> None:
        self._parts = list(parts)

    async def read(self):
        """Return the next part, or an empty one at the end."""
        return Ok(self._parts.pop(0) if self._parts else b"")

    def close(self) -> None:
        """Do nothing."""


def token(index: int, request_id: str = "r1") -> bytes:
    """Return the event of one token."""
    event = {"id": request_id, "index": index, "token": f"t{index}", "version": "1"}
    return format_event(json.dumps(event))


DONE = format_event("[DONE]")


class StallingStream(FakeStream):
    """Returns its parts with a pause before each and then blocks until it is aborted."""

    def __init__(self, *parts: bytes, pause_s: float) -> None:
        super().__init__(*parts)
        self._pause_s = pause_s
        self._aborted = asyncio.Event()

    async def read(self):
        """Return the next part after the pause, or an error after an abort."""
        if not self._parts:
            await self._aborted.wait()
            return Err(HttpError("receive_body", self.peer, True, "aborted"))
        await asyncio.sleep(self._pause_s)
        return await super().read()

    def abort(self) -> None:
        """Make the blocked read fail."""
        self._aborted.set()


async def read_all(stream: EngineStream) -> list[str]:
    """Return the token texts of a stream that ends without a failure."""
    texts = []
    while not stream.done:
        texts += [t.text for t in (await stream.read()).unwrap()]
    return texts


class EngineStreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams of request r1."""

    async def test_foreign_and_duplicate_events_are_dropped(self):
        """Guards against answers with tokens of another request or with a token twice."""
        body = token(0) + token(0, "r2") + token(0) + token(1) + DONE
        stream = EngineStream(FakeStream(body), "r1", 0)
        self.assertEqual(await read_all(stream), ["t0", "t1"])
        self.assertEqual((stream.foreign_events, stream.duplicate_tokens), (1, 1))

    async def test_resumed_stream_skips_known_tokens(self):
        """Guards against repeated tokens from an engine that ignores the resume position."""
        stream = EngineStream(FakeStream(token(0) + token(1), token(2) + DONE), "r1", 1)
        self.assertEqual(await read_all(stream), ["t1", "t2"])

    async def test_stalled_stream_times_out(self):
        """Guards against a caller that waits forever.

        The engine either sends nothing or only sends events without a token.
        """
        keep_alive = [b": still here\n\n"] * 1000
        for parts in ([], keep_alive):
            fake = StallingStream(token(0), *parts, pause_s=0.002)
            with unittest.mock.patch.object(engine_client, "STALL_TIMEOUT_S", 0.1):
                stream = EngineStream(fake, "r1", 0)
                self.assertEqual(len((await stream.read()).unwrap()), 1)
                async with asyncio.timeout(5):
                    failure = (await stream.read()).unwrap_err()
            self.assertEqual((failure.kind, failure.step), (EngineFailureKind.TIMEOUT, "stream"))
            stream.close()

    async def test_slow_stream_and_slow_caller_do_not_time_out(self):
        """Guards against a timeout that counts the whole stream or the time of a slow caller.

        Only the wait for a single token counts.
        """
        with unittest.mock.patch.object(engine_client, "STALL_TIMEOUT_S", 0.4):
            fake = StallingStream(*(token(n) for n in range(8)), pause_s=0.06)
            stream = EngineStream(fake, "r1", 0)
            for index in range(8):
                self.assertEqual((await stream.read()).unwrap()[0].index, index)
                if index == 3:
                    await asyncio.sleep(0.5)
        stream.close()

    async def test_stall_is_detected_on_a_socket(self):
        """Guards against an abort that does not end a pending read on a socket."""

        async def stall_after_first_token(req, out):
            await out.start(200, (), token(0))
            await asyncio.sleep(60)

        server = HttpServer(stall_after_first_token, host="127.0.0.1", port=0)
        await server.start()
        self.addAsyncCleanup(server.close, 0)
        client = HttpClient()
        self.addCleanup(client.close)
        with unittest.mock.patch.object(engine_client, "STALL_TIMEOUT_S", 0.1):
            opened = await open_stream(client, server.address, b"{}", "r1", 0, "/", 5.0)
            stream = opened.unwrap()
            self.assertEqual(len((await stream.read()).unwrap()), 1)
            async with asyncio.timeout(5):
                failure = (await stream.read()).unwrap_err()
        stream.close()
        self.assertEqual(failure.kind, EngineFailureKind.TIMEOUT)

    async def test_missing_tokens_and_early_ends_are_failures(self):
        """Guards against incomplete answers that are accepted as complete."""
        for parts in ((token(0) + token(2),), (token(0),), (format_event("{}"),)):
            stream = EngineStream(FakeStream(*parts), "r1", 0)
            read = await stream.read()
            if read.is_ok():
                read = await stream.read()
            self.assertEqual(read.unwrap_err().kind, EngineFailureKind.BROKEN)
