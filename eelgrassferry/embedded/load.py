"""A load generator that sends a seeded mix of requests to nodes and checks every answer."""

import asyncio
import json
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from enum import Enum

from result import Err

from ..documents import MALFORMED
from ..http import HttpClient, SseParser
from ..settings import Deployment
from ..standins import expected_tokens

__all__ = ["CallKind", "CallResult", "LoadMix", "run_load"]

REQUEST_TIMEOUT_S = 60.0
MAX_OUTPUT_TOKENS = 48
PROMPT_WORDS = ("draft", "the", "results", "sheet", "for", "heat", "lane", "proof", "decal", "kit")


class CallKind(Enum):
    """The kinds of requests in the mix."""

    URGENT = "urgent model request"
    PATIENT = "patient model request"
    ORDER = "order"
    STATUS = "status check"


@dataclass(frozen=True)
class LoadMix:
    """Mean request rates by kind, per second.

    ``adapter_share`` is the share of model requests that are sent to an adapter.
    """

    urgent_per_s: float = 12.0
    patient_per_s: float = 6.0
    orders_per_s: float = 4.0
    status_per_s: float = 6.0
    adapter_share: float = 0.4


@dataclass(frozen=True)
class CallResult:
    """The result of one request, as its caller observed it.

    ``correct`` is False if the answer was incomplete or differed from the expected answer.
    ``in_target`` tells whether the first token of a correct answer met the target. ``ran`` is
    "yes", "no" or "unknown", and ``key`` is the idempotency key of an order.
    """

    kind: CallKind
    status: int
    reason: str = ""
    ran: str = ""
    correct: bool = False
    first_token_s: float | None = None
    in_target: bool = False
    key: str = ""


@dataclass(frozen=True)
class _Caller:
    client: HttpClient
    addresses: Sequence[str]
    deployment: Deployment
    rng: random.Random

    def pick_node(self) -> str:
        return self.rng.choice(self.addresses)


async def run_load(
    deployment: Deployment, addresses: Sequence[str], mix: LoadMix, seconds: float, seed: int
) -> tuple[CallResult, ...]:
    """Send requests for ``seconds`` and return the result of each.

    The arrivals depend only on ``seed``; the order in which they are served also depends on the
    machine.
    """
    caller = _Caller(HttpClient(), addresses, deployment, random.Random(seed))
    rates = {
        CallKind.URGENT: mix.urgent_per_s,
        CallKind.PATIENT: mix.patient_per_s,
        CallKind.ORDER: mix.orders_per_s if deployment.services else 0.0,
        CallKind.STATUS: mix.status_per_s if deployment.services else 0.0,
    }
    tasks = []
    started_at = time.monotonic()
    arrival_s = 0.0
    while (arrival_s := arrival_s + caller.rng.expovariate(sum(rates.values()))) < seconds:
        await asyncio.sleep(max(0.0, started_at + arrival_s - time.monotonic()))
        kind = caller.rng.choices(tuple(rates), tuple(rates.values()))[0]
        tasks.append(asyncio.ensure_future(_make_call(caller, kind, mix)()))
    results = await asyncio.gather(*tasks)
    caller.client.close()
    return tuple(results)


def _make_call(
    caller: _Caller, kind: CallKind, mix: LoadMix
) -> Callable[[], Coroutine[None, None, CallResult]]:
    """Draw a random request and return the function that sends it.

    All random choices are made here, in order of arrival, so that they depend only on the seed.
    """
    match kind:
        case CallKind.URGENT | CallKind.PATIENT:
            name = _pick_name(caller, mix.adapter_share)
            prompt = " ".join(caller.rng.choices(PROMPT_WORDS, k=caller.rng.randint(8, 120)))
            tokens = caller.rng.randint(4, MAX_OUTPUT_TOKENS)
            node = caller.pick_node()
            return lambda: _call_model(caller, kind, node, name, prompt, tokens)
        case CallKind.ORDER:
            key = f"{caller.rng.getrandbits(64):016x}"
            node = caller.pick_node()
            return lambda: _call_order(caller, node, key)
        case CallKind.STATUS:
            node = caller.pick_node()
            return lambda: _call_status(caller, node)


def _pick_name(caller: _Caller, adapter_share: float) -> str:
    deployment = caller.deployment
    if deployment.adapters and caller.rng.random() < adapter_share:
        return caller.rng.choice(sorted(deployment.adapters))
    return caller.rng.choice(sorted(deployment.models))


async def _call_model(
    caller: _Caller, kind: CallKind, node: str, name: str, prompt: str, tokens: int
) -> CallResult:
    body = {"model": name, "prompt": prompt, "max_tokens": tokens, "stream": True}
    headers = (("priority", "u=1" if kind is CallKind.URGENT else "u=6"),)
    started_at = time.monotonic()
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            opened = await caller.client.open(
                node, "POST", "/v1/completions", headers=headers, body=json.dumps(body).encode()
            )
            if isinstance(opened, Err):
                return CallResult(kind, 0, "connection_lost", "unknown")
            stream = opened.ok_value
            if stream.status != 200:
                return _parse_refusal(kind, stream.status, (await stream.read_all()).unwrap_or(b""))
            return await _read_stream(caller, kind, stream, name, prompt, tokens, started_at)
    except TimeoutError:
        return CallResult(kind, 0, "caller_timeout", "unknown")


async def _read_stream(caller, kind, stream, name, prompt, tokens, started_at) -> CallResult:
    parser, texts, first_token_s, done = SseParser(), [], None, False
    while not done:
        part = await stream.read()
        if isinstance(part, Err) or not part.ok_value:
            break
        for data in parser.feed(part.ok_value):
            if data == "[DONE]":
                done = True
                continue
            document = json.loads(data)
            if "error" in document:
                problem = document["error"]
                return CallResult(kind, 200, problem["reason"], problem["ran"])
            first_token_s = first_token_s or time.monotonic() - started_at
            texts.append(document["choices"][0]["text"])
    stream.close()
    deployment = caller.deployment
    spec = deployment.adapters.get(name) or deployment.models[name]
    correct = done and "".join(texts) == "".join(
        expected_tokens(name, spec.version, prompt, tokens)
    )
    base = deployment.models[deployment.base_model_of(name) or name]
    limit_s = base.first_token_s if kind is CallKind.URGENT else REQUEST_TIMEOUT_S
    in_target = correct and first_token_s is not None and first_token_s <= limit_s
    reason = "" if correct else "wrong_answer"
    return CallResult(kind, 200, reason, "yes", correct, first_token_s, in_target)


async def _call_order(caller: _Caller, node: str, key: str) -> CallResult:
    service = sorted(caller.deployment.services)[0]
    path = "/bookings" if "booking" in service else "/print-orders"
    return await _call_service(
        caller, CallKind.ORDER, node, "POST", f"/services/{service}{path}", key
    )


async def _call_status(caller: _Caller, node: str) -> CallResult:
    service = sorted(caller.deployment.services)[0]
    return await _call_service(
        caller, CallKind.STATUS, node, "GET", f"/services/{service}/status/1"
    )


async def _call_service(
    caller: _Caller, kind: CallKind, node: str, method: str, target: str, key: str = ""
) -> CallResult:
    headers = (("idempotency-key", key),) if key else ()
    sent = await caller.client.request(
        node, method, target, headers=headers, body=b"{}" if key else b"", timeout_s=20.0
    )
    if isinstance(sent, Err):
        return CallResult(kind, 0, "connection_lost", "unknown", key=key)
    res = sent.ok_value
    if res.status >= 400:
        return _parse_refusal(kind, res.status, res.body, key)
    return CallResult(kind, res.status, "", "yes", True, None, True, key)


def _parse_refusal(kind: CallKind, status: int, body: bytes, key: str = "") -> CallResult:
    try:
        problem = json.loads(body)
        return CallResult(kind, status, problem["reason"], problem["ran"], key=key)
    except MALFORMED:
        return CallResult(kind, status, "malformed_problem", "unknown", key=key)
