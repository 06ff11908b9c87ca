"""Callers that keep their connections open and send requests of every kind."""

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random

from result import Ok

from ....http import HttpClient
from ..documents import HOST
from .records import CallRecord, SoakRecord

__all__ = ["Caller"]

DEADLINE_S = 4.0
# A caller waits longer than its deadline, so that a late answer is seen as late, in seconds.
PATIENCE_S = 6.0
# Pause between the requests of one caller, and after one that reached nobody, in seconds.
THINK_S = 0.03
RETRY_S = 0.1
# Share of requests whose caller leaves early, and the longest time after which it does, in seconds.
LEAVE_SHARE = 0.05
LEAVE_WITHIN_S = 0.15
MODELS = 4
ADAPTERS = 4
# The path of each kind of request.
PATHS = {"order": "/book/x", "look": "/look/x", "stream": "/chat/x", "resumable": "/batch/x"}

numbers = count(1)


class Caller:
    """One caller of one node."""

    def __init__(
        self,
        node: str,
        address: str,
        record: SoakRecord,
        rng: Random,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._address = address
        self._record = record
        self._rng = rng
        self._clock = clock
        self._client = HttpClient()

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                rng = self._rng
                kind = rng.choice(list(PATHS))
                path = PATHS[kind]
                if kind == "look" and self._record.routes and rng.random() < 0.3:
                    path = rng.choice(list(self._record.routes))
                model = f"m{rng.randrange(MODELS)}"
                if rng.random() < 0.5:
                    model = f"{model}/a{rng.randrange(ADAPTERS) + 1}"
                leave_s = None
                if rng.random() < LEAVE_SHARE:
                    leave_s = rng.uniform(0.0, LEAVE_WITHIN_S)
                call = await self.send(kind, path, model, leave_s)
                await asyncio.sleep(THINK_S if call.status is not None else RETRY_S)
        finally:
            self._client.close()

    async def send(
        self, kind: str, path: str, model: str, leave_s: float | None = None
    ) -> CallRecord:
        """Send one request and wait for its answer, or leave after ``leave_s``."""
        request_id = f"{self._node}-{next(numbers)}"
        body = (request_id + ":").encode() * self._rng.randrange(1, 200)
        call = CallRecord(request_id, kind, self._node, path, body, self._clock())
        self._record.calls.append(call)
        headers = [
            ("Host", HOST),
            ("Eelgrassferry-Request-Id", request_id),
            ("Eelgrassferry-Deadline-Ms", str(round(DEADLINE_S * 1000))),
        ]
        if kind in ("stream", "resumable"):
            headers.append(("Eelgrassferry-Model", model))
        call.left = leave_s is not None
        sent = await self._client.request(
            self._address,
            "POST",
            path,
            headers=tuple(headers),
            body=body,
            timeout_s=PATIENCE_S if leave_s is None else leave_s,
        )
        call.ended_at = self._clock()
        match sent:
            case Ok(res):
                call.status, call.answer, call.complete = res.status, res.body, True
                call.sealed = res.header("eelgrassferry-server-seal") is not None
                call.answer_id = res.header("eelgrassferry-request-id") or ""
                call.left = False
            case _:
                call.detail = f"{sent.err_value.step}: {sent.err_value.detail}"
        return call
