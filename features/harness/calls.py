"""HTTP calls from the scenarios' steps, which are not coroutines."""

import asyncio
import json
import threading
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

from result import Result

from eelgrassferry.http import HttpClient, HttpError, HttpResponse

__all__ = ["Calls"]

CALL_S = 30.0
WAIT_S = 15.0
POLL_S = 0.02

T = TypeVar("T")


class Calls:
    """Runs an event loop in a thread, so that requests go on while the steps do."""

    def __init__(self) -> None:
        self.client = HttpClient()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def start(self, work: Coroutine[Any, Any, T]) -> "Future[T]":
        """Start a coroutine and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def send(
        self,
        address: str,
        method: str,
        target: str,
        body: Any = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Result[HttpResponse, HttpError]:
        """Send one request on a connection of its own; a body that is not bytes goes as JSON."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        work = self.client.request(
            address,
            method,
            target,
            headers=headers,
            body=data,
            timeout_s=CALL_S,
            new_connection=True,
        )
        return self.start(work).result(CALL_S + 5)

    def read(self, address: str, target: str) -> Any:
        """Return the JSON of a GET call that must succeed."""
        response = self.send(address, "GET", target).unwrap()
        assert response.status == 200, (target, response)
        return response.json()

    def set_faults(self, address: str, **faults: Any) -> None:
        """Set fault switches of a stand-in."""
        response = self.send(address, "POST", "/faults", faults).unwrap()
        assert response.status == 200, response.body

    def wait_until(self, holds: Callable[[], bool], what: str, timeout_s: float = WAIT_S) -> None:
        """Wait for a condition, and fail with ``what`` if it does not come true."""
        until_s = time.monotonic() + timeout_s
        while not holds():
            assert time.monotonic() < until_s, f"not within {timeout_s} s: {what}"
            time.sleep(POLL_S)

    def close(self) -> None:
        """Close connections and stop the loop."""
        self._loop.call_soon_threadsafe(self.client.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
