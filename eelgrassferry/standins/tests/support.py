"""Test case base class for the stand-ins."""

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any

from ...http import HttpClient, HttpResponse, SseParser

__all__ = ["StandinTestCase"]


class StandinTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case that starts stand-ins on ephemeral ports and closes them after the test."""

    async def asyncSetUp(self):
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def start_server(self, server):
        """Start a server, close it after the test, and return it."""
        await server.start()
        self.addAsyncCleanup(server.close, 0)
        return server

    async def call(self, standin, method: str, target: str, body: Any = b"", **headers: str):
        """Send a request and return the response; underscores in header names become hyphens."""
        return (await self.try_call(standin, method, target, body, **headers)).unwrap()

    async def try_call(self, standin, method: str, target: str, body: Any = b"", **headers: str):
        """Send a request on a new connection and return the result, which may be an error."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        address = standin.address
        return await self.client.request(
            address, method, target, headers=pairs, body=data, new_connection=True
        )

    async def set_faults(self, standin, **faults: Any) -> HttpResponse:
        """Set fault switches over HTTP."""
        response = await self.call(standin, "POST", "/faults", faults)
        self.assertEqual(response.status, 200, response.body)
        return response

    async def read_counts(self, standin) -> dict[str, Any]:
        """Return the counts, read over HTTP."""
        return (await self.call(standin, "GET", "/counts")).json()

    async def stream_completion(
        self, standin, body: dict[str, Any]
    ) -> tuple[list[dict[str, Any]], bool]:
        """Return the events of a streamed completion and whether it ended with ``[DONE]``."""
        data = json.dumps({**body, "stream": True}).encode()
        opened = await self.client.open(standin.address, "POST", "/v1/completions", body=data)
        stream = opened.unwrap()
        self.assertEqual(stream.status, 200)
        parser, events = SseParser(), []
        while (part := await stream.read()).is_ok() and part.ok_value:
            events += parser.feed(part.ok_value)
        done = bool(events) and events[-1] == "[DONE]"
        return [json.loads(event) for event in events if event != "[DONE]"], done

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds, at most 10 s."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)
