"""Client of one engine's completion stream."""

import asyncio
import json
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..http import HttpClient, HttpError, HttpStream, SseParser

__all__ = ["EngineFailure", "EngineFailureKind", "EngineStream", "Token", "open_stream"]

# A stream without any token for this long counts as stalled. An engine that is only slow sends
# a token several times a second.
STALL_TIMEOUT_S = 4.0
DONE = "[DONE]"


class EngineFailureKind(Enum):
    """How an exchange with an engine failed."""

    NOT_RUN = "not_run"
    NOT_RESIDENT = "not_resident"
    REJECTED = "rejected"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclass(frozen=True)
class EngineFailure:
    """A failed exchange, with the step and the peer at which it failed."""

    kind: EngineFailureKind
    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class Token:
    """One generated token. ``index`` counts from the start of the whole answer."""

    index: int
    text: str
    version: str


class EngineStream:
    """The tokens of one request, checked against its id.

    Events that carry another request's id are dropped and counted in ``crossed``; tokens whose
    index has been seen are dropped and counted in ``doubled``.
    """

    def __init__(self, stream: HttpStream, request_id: str, next_index: int) -> None:
        self._stream = stream
        self._request_id = request_id
        self._parser = SseParser()
        self._next_index = next_index
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._waits_since: float | None = None
        self._stalled = False
        self.done = False
        self.crossed = 0
        self.doubled = 0

    async def read(self) -> Result[tuple[Token, ...], EngineFailure]:
        """Return the tokens that arrived together; none after the end of the answer."""
        self._arm()
        self._waits_since = self._loop.time()
        try:
            while not self.done:
                part = await self._stream.read()
                if self._stalled:
                    return Err(self._timed_out())
                if isinstance(part, Err):
                    return Err(self._broken(part.err_value.detail))
                tokens = self._read_events(self._parser.feed(part.ok_value))
                if isinstance(tokens, Err) or tokens.ok_value:
                    return tokens
                if not part.ok_value and not self.done:
                    return Err(self._broken("the stream ended before its last event"))
        finally:
            self._waits_since = None
        return Ok(())

    def close(self) -> None:
        """Close the connection, which cancels the request at the engine."""
        if self._timer is not None:
            self._timer.cancel()
        self._stream.close()

    def _arm(self) -> None:
        """Start the one timer of the stream; one for each token took 15 % of the token path."""
        if self._timer is None:
            self._timer = self._loop.call_later(STALL_TIMEOUT_S, self._check_stall)

    def _check_stall(self) -> None:
        """End a read that has waited too long, or look again when it will have."""
        now = self._loop.time()
        since = now if self._waits_since is None else self._waits_since
        if now - since >= STALL_TIMEOUT_S:
            self._stalled = True
            self._stream.abort()
        else:
            self._timer = self._loop.call_at(since + STALL_TIMEOUT_S, self._check_stall)

    def _read_events(self, events: list[str]) -> Result[tuple[Token, ...], EngineFailure]:
        tokens = []
        for data in events:
            if data == DONE:
                self.done = True
                break
            try:
                event = json.loads(data)
                token = Token(int(event["index"]), str(event["token"]), str(event["version"]))
                request_id = event["id"]
            except (ValueError, KeyError, TypeError):
                return Err(self._broken(f"malformed event {data[:80]!r}"))
            if request_id != self._request_id:
                self.crossed += 1
            elif token.index < self._next_index:
                self.doubled += 1
            elif token.index > self._next_index:
                return Err(self._broken(f"token {self._next_index} is missing"))
            else:
                tokens.append(token)
                self._next_index += 1
        return Ok(tuple(tokens))

    def _timed_out(self) -> EngineFailure:
        detail = f"no token within {STALL_TIMEOUT_S} s"
        return EngineFailure(EngineFailureKind.TIMEOUT, "stream", self._stream.peer, detail)

    def _broken(self, detail: str) -> EngineFailure:
        return EngineFailure(EngineFailureKind.BROKEN, "stream", self._stream.peer, detail)


async def open_stream(
    client: HttpClient,
    address: str,
    body: bytes,
    request_id: str,
    next_index: int,
    path: str,
    timeout_s: float,
) -> Result[EngineStream, EngineFailure]:
    """Send a request to an engine and return its stream once the engine has accepted it.

    An engine answers the head with its first token, so ``timeout_s`` includes the time in its
    queue.
    """
    headers = (("content-type", "application/json"), ("x-request-id", request_id))
    try:
        async with asyncio.timeout(timeout_s):
            opened = await client.open(address, "POST", path, headers=headers, body=body)
    except TimeoutError:
        detail = f"no first token within {timeout_s} s"
        return Err(EngineFailure(EngineFailureKind.TIMEOUT, "head", address, detail))
    match opened:
        case Err(HttpError(step, peer, sent, detail)):
            kind = EngineFailureKind.BROKEN if sent else EngineFailureKind.NOT_RUN
            return Err(EngineFailure(kind, step, peer, detail))
        case Ok(stream):
            return await _check_head(stream, request_id, next_index)
    raise AssertionError("unreachable")


async def _check_head(
    stream: HttpStream, request_id: str, next_index: int
) -> Result[EngineStream, EngineFailure]:
    if stream.status == 200:
        if stream.header("x-request-id") not in (None, request_id):
            stream.close()
            detail = "the answer carries another request's id"
            return Err(EngineFailure(EngineFailureKind.BROKEN, "head", stream.peer, detail))
        return Ok(EngineStream(stream, request_id, next_index))
    body = (await stream.read_all()).unwrap_or(b"")
    stream.close()
    detail = body[:200].decode(errors="replace")
    if stream.status == 404 and b"not_resident" in body:
        kind = EngineFailureKind.NOT_RESIDENT
    elif stream.header("x-did-not-run") == "1" or stream.status == 429:
        kind = EngineFailureKind.NOT_RUN
    elif stream.status < 499:  # 499 is a request that was cancelled at the engine
        kind = EngineFailureKind.REJECTED
    else:
        kind = EngineFailureKind.BROKEN
    return Err(EngineFailure(kind, "head", stream.peer, f"status {stream.status}: {detail}"))
