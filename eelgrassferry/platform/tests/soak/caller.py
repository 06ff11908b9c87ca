"""Callers that send requests of every kind over persistent connections."""

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random

from result import Ok

from ....http import HttpClient
from ..documents import HOST
from .key_ring import choose_keys
from .records import CallRecord, SoakRecord

__all__ = ["Caller"]

DEADLINE_S = 4.0
# Client timeout in seconds; longer than the deadline, so that late answers are recorded as late.
CALLER_TIMEOUT_S = 6.0
# Pause after an answered request and after one without an answer, in seconds.
REQUEST_PAUSE_S = 0.03
RETRY_S = 0.1
# Share of requests that their caller abandons, and the longest time until it does, in seconds.
ABANDON_SHARE = 0.05
ABANDON_WITHIN_S = 0.15
MODELS = 4
ADAPTERS = 4
# Path of each kind of request. An "order" is a non-idempotent request, unrelated to orders to
# engines; a "look" is an idempotent one.
PATHS = {"order": "/book/x", "look": "/look/x", "stream": "/chat/x", "resumable": "/batch/x"}

request_numbers = count(1)


class Caller:
    """Caller that sends random requests to one node and records the answers.

    Its pauses are multiplied by ``slowdown``.
    """

    def __init__(
        self,
        node: str,
        address: str,
        record: SoakRecord,
        rng: Random,
        clock: Callable[[], float],
        slowdown: float = 1.0,
    ) -> None:
        self._slowdown = slowdown
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
                abandon_after_s = None
                if rng.random() < ABANDON_SHARE:
                    abandon_after_s = rng.uniform(0.0, ABANDON_WITHIN_S)
                call = await self.send(kind, path, model, abandon_after_s)
                pause_s = REQUEST_PAUSE_S if call.status is not None else RETRY_S
                await asyncio.sleep(self._slowdown * pause_s)
        finally:
            self._client.close()

    async def send(
        self,
        kind: str,
        path: str,
        model: str,
        abandon_after_s: float | None = None,
        with_good_key: bool = False,
        prompt: str = "",
    ) -> CallRecord:
        """Send one request, whose ``prompt`` lists the parts of its prompt, and return its record.

        The caller disconnects after ``abandon_after_s`` seconds, or, if that is None, after
        ``CALLER_TIMEOUT_S``. If the fleet has tenants, some requests have a bad key, unless
        ``with_good_key`` is set, and name another tenant themselves.
        """
        request_id = f"{self._node}-{next(request_numbers)}"
        body = (request_id + ":").encode() * self._rng.randrange(1, 200)
        call = CallRecord(request_id, kind, self._node, path, body, self._clock())
        self._record.calls.append(call)
        headers = [
            ("Host", HOST),
            ("Eelgrassferry-Request-Id", request_id),
            ("Eelgrassferry-Deadline-Ms", str(round(DEADLINE_S * 1000))),
        ]
        if self._record.keys:
            call.keys = choose_keys(self._record, self._rng, with_good_key)
            headers += [("Eelgrassferry-Tenant", "forged")]
            headers += [("X-Api-Key", key) for key in call.keys]
        if kind in ("stream", "resumable"):
            headers.append(("Eelgrassferry-Model", model))
        if prompt:
            headers.append(("Eelgrassferry-Prompt-Prefix", prompt))
        call.abandoned = abandon_after_s is not None
        result = await self._client.request(
            self._address,
            "POST",
            path,
            headers=tuple(headers),
            body=body,
            timeout_s=CALLER_TIMEOUT_S if abandon_after_s is None else abandon_after_s,
        )
        call.ended_at = self._clock()
        match result:
            case Ok(res):
                call.status, call.answer, call.complete = res.status, res.body, True
                call.sealed = res.header("eelgrassferry-server-seal") is not None
                call.answer_id = res.header("eelgrassferry-request-id") or ""
                call.abandoned = False
            case _:
                call.detail = f"{result.err_value.step}: {result.err_value.detail}"
        return call
