"""Client for the token streams of engines."""

import asyncio
import json
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from ..documents import MALFORMED
from ..http import HttpClient, HttpError, HttpStream, SseParser

__all__ = ["EngineFailure", "EngineFailureKind", "EngineStream", "Token", "open_stream"]

# A stream without a token for this time is considered stalled. Even a slow engine sends several
# tokens a second.
STALL_TIMEOUT_S = 4.0
DONE = "[DONE]"


class EngineFailureKind(Enum):
    """The kinds of failure of a request to an engine."""

    NOT_RUN = "not_run"
    NOT_RESIDENT = "not_resident"
    REJECTED = "rejected"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclass(frozen=True)
class EngineFailure:
    """A failed request to an engine, with the step and the peer at which it failed."""

    kind: EngineFailureKind
    step: str
    peer: str
    detail: str


@dataclass(frozen=True)
class Token:
    """A generated token. ``index`` is its position in the whole answer, from 0."""

    index: int
    text: str
    version: str


class EngineStream:
    """The token stream of one request.

    Events with the id of another request are dropped and counted in ``foreign_events``, tokens with
    an index that was already received in ``duplicate_tokens``.
    """

    def __init__(self, stream: HttpStream, request_id: str, next_index: int) -> None:
        self._stream = stream
        self._request_id = request_id
        self._parser = SseParser()
        self._next_index = next_index
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._waiting_since: float | None = None
        self._stalled = False
        self.done = False
        self.foreign_events = 0
        self.duplicate_tokens = 0

    async def read(self) -> Result[tuple[Token, ...], EngineFailure]:
        """Wait for tokens and return those that arrived together.

        Return an empty tuple at the end of the answer, or a failure if the stream stalls, breaks or
        skips a token.
        """
        self._start_stall_timer()
        self._waiting_since = self._loop.time()
        try:
            while not self.done:
                part = await self._stream.read()
                if self._stalled:
                    return Err(self._timeout_failure())
                if isinstance(part, Err):
                    return Err(self._broken_failure(part.err_value.detail))
                tokens = self._parse_events(self._parser.feed(part.ok_value))
                if isinstance(tokens, Err) or tokens.ok_value:
                    return tokens
                if not part.ok_value and not self.done:
                    return Err(self._broken_failure("the stream ended before its last event"))
        finally:
            self._waiting_since = None
        return Ok(())

    def close(self) -> None:
        """Close the connection, which cancels the request at the engine."""
        if self._timer is not None:
            self._timer.cancel()
        self._stream.close()

    def _start_stall_timer(self) -> None:
        """Start the stall timer on the first read.

        The stream has a single timer, because one per token took 15 % of the time per token.
        """
        if self._timer is None:
            self._timer = self._loop.call_later(STALL_TIMEOUT_S, self._check_stall)

    def _check_stall(self) -> None:
        """Abort a read that has waited too long, or check again when its time limit is reached."""
        now = self._loop.time()
        since = now if self._waiting_since is None else self._waiting_since
        if now - since >= STALL_TIMEOUT_S:
            self._stalled = True
            self._stream.abort()
        else:
            self._timer = self._loop.call_at(since + STALL_TIMEOUT_S, self._check_stall)

    def _parse_events(self, events: list[str]) -> Result[tuple[Token, ...], EngineFailure]:
        tokens = []
        for data in events:
            if data == DONE:
                self.done = True
                break
            try:
                event = json.loads(data)
                token = Token(int(event["index"]), str(event["token"]), str(event["version"]))
                request_id = event["id"]
            except MALFORMED:
                return Err(self._broken_failure(f"malformed event {data[:80]!r}"))
            if request_id != self._request_id:
                self.foreign_events += 1
            elif token.index < self._next_index:
                self.duplicate_tokens += 1
            elif token.index > self._next_index:
                return Err(self._broken_failure(f"token {self._next_index} is missing"))
            else:
                tokens.append(token)
                self._next_index += 1
        return Ok(tuple(tokens))

    def _timeout_failure(self) -> EngineFailure:
        detail = f"no token within {STALL_TIMEOUT_S} s"
        return EngineFailure(EngineFailureKind.TIMEOUT, "stream", self._stream.peer, detail)

    def _broken_failure(self, detail: str) -> EngineFailure:
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
    """Send a request to an engine and return its stream once the response head has arrived.

    Engines send the head with the first token, so ``timeout_s`` includes the time in the engine's
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
    elif stream.status < 499:  # 499 means that the request was cancelled at the engine
        kind = EngineFailureKind.REJECTED
    else:
        kind = EngineFailureKind.BROKEN
    return Err(EngineFailure(kind, "head", stream.peer, f"status {stream.status}: {detail}"))
