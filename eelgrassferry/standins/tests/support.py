"""Helpers of the stand-ins' tests."""

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any

from ...http import HttpClient, HttpResponse, SseParser

__all__ = ["StandinCase"]


class StandinCase(unittest.IsolatedAsyncioTestCase):
    """Starts stand-ins on ports chosen by the kernel and closes them after the test."""

    async def asyncSetUp(self):
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def serve(self, standin):
        """Start a stand-in for the length of the test."""
        await standin.start()
        self.addAsyncCleanup(standin.close, 0)
        return standin

    async def call(self, standin, method: str, target: str, body: Any = b"", **headers: str):
        """Return the response; header names are given with underscores."""
        return (await self.attempt(standin, method, target, body, **headers)).unwrap()

    async def attempt(self, standin, method: str, target: str, body: Any = b"", **headers: str):
        """Return the result of an exchange, on a connection of its own."""
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

    async def counts(self, standin) -> dict[str, Any]:
        """Return the counts over HTTP."""
        return (await self.call(standin, "GET", "/counts")).json()

    async def stream(self, standin, body: dict[str, Any]) -> tuple[list[dict[str, Any]], bool]:
        """Return the events of a streamed completion, and whether it ended with ``[DONE]``."""
        data = json.dumps({**body, "stream": True}).encode()
        opened = await self.client.open(standin.address, "POST", "/v1/completions", body=data)
        stream = opened.unwrap()
        self.assertEqual(stream.status, 200)
        parser, events = SseParser(), []
        while (part := await stream.read()).is_ok() and part.ok_value:
            events += parser.feed(part.ok_value)
        done = bool(events) and events[-1] == "[DONE]"
        return [json.loads(event) for event in events if event != "[DONE]"], done

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(10):
            while not holds():
                await asyncio.sleep(0.002)
