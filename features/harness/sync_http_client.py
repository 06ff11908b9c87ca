"""Blocking HTTP calls for the steps of the scenarios, which are not coroutines."""

import asyncio
import json
import threading
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

from result import Result

from eelgrassferry.http import HttpClient, HttpError, HttpResponse

__all__ = ["SyncHttpClient"]

CALL_TIMEOUT_S = 30.0
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02

T = TypeVar("T")


class SyncHttpClient:
    """An HTTP client with its own event loop in a background thread.

    Requests make progress while the steps run.
    """

    def __init__(self) -> None:
        self.client = HttpClient()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> "Future[T]":
        """Start a coroutine on the event loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def send(
        self,
        address: str,
        method: str,
        target: str,
        body: Any = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Result[HttpResponse, HttpError]:
        """Send a request on a new connection and return the response.

        A body that is not bytes is encoded as JSON.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        coroutine = self.client.request(
            address,
            method,
            target,
            headers=headers,
            body=data,
            timeout_s=CALL_TIMEOUT_S,
            new_connection=True,
        )
        return self.submit(coroutine).result(CALL_TIMEOUT_S + 5)

    def read_json(self, address: str, target: str) -> Any:
        """Send a GET request, check that its status is 200, and return the decoded JSON body."""
        response = self.send(address, "GET", target).unwrap()
        assert response.status == 200, (target, response)
        return response.json()

    def set_faults(self, address: str, **faults: Any) -> None:
        """Set fault switches of the stand-in at ``address``."""
        response = self.send(address, "POST", "/faults", faults).unwrap()
        assert response.status == 200, response.body

    def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Wait until ``condition`` returns True.

        Raises AssertionError with ``description`` after ``timeout_s`` seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline_s, f"not within {timeout_s} s: {description}"
            time.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the connections and stop the event loop."""
        self._loop.call_soon_threadsafe(self.client.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
