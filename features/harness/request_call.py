"""One completion request of a scenario and its outcome."""

import json
from concurrent.futures import Future
from dataclasses import dataclass, replace

from result import Err, Ok

from eelgrassferry.http import HttpClient, SseParser
from eelgrassferry.standins import expected_tokens, request_digest

from .process import Process

__all__ = ["RequestCall", "RequestOutcome"]

TIMEOUT_S = 60.0
VERSIONS = ("1", "2", "3")
# Each token of a stand-in engine is 8 hexadecimal digits.
TOKEN_LENGTH = 8


@dataclass(frozen=True)
class RequestOutcome:
    """The outcome of a request as observed by its caller.

    ``status`` is the HTTP status, 0 if no answer began. ``complete`` is True if the answer was
    received to its end. ``reason`` and ``ran`` come from a refusal or from an error event in the
    stream. ``detail`` describes a failure of the connection.
    """

    status: int = 0
    complete: bool = False
    version: str = ""
    indexes: tuple[int, ...] = ()
    tokens: tuple[str, ...] = ()
    reason: str = ""
    ran: str = ""
    detail: str = ""


@dataclass(frozen=True)
class RequestCall:
    """A completion request to ``target``.

    Prompts differ, so each digest belongs to one request. ``crashes`` is True if the prompt
    contains the crash marker of the engines. A request that continues a broken stream has in
    ``resume`` the version of the model and the number of tokens already received.
    """

    target: Process
    model: str
    prompt: str
    max_tokens: int
    stream: bool = False
    patient: bool = False
    crashes: bool = False
    resume: tuple[str, int] | None = None
    future: "Future[RequestOutcome] | None" = None

    @property
    def digest(self) -> str:
        """The digest by which engines count how often they started this request."""
        return request_digest(self.model, self.prompt)

    @property
    def outcome(self) -> RequestOutcome:
        """The outcome; blocks until it is available."""
        assert self.future is not None
        return self.future.result(TIMEOUT_S)

    def with_future(self, future: "Future[RequestOutcome]") -> "RequestCall":
        """Return a copy of the request with the future of its outcome."""
        return replace(self, future=future)

    def describe_fault(self) -> str:
        """Return a description of the fault in the answer, or "" if it is complete and correct."""
        outcome = self.outcome
        if outcome.status != 200:
            return f"refused with {outcome.status} {outcome.reason} {outcome.detail}"
        if not outcome.complete:
            return f"broken after {len(outcome.tokens)} tokens: {outcome.detail}"
        first = self.resume[1] if self.resume else 0
        if outcome.indexes and outcome.indexes != tuple(range(first, self.max_tokens)):
            return f"unexpected token indexes {outcome.indexes}"
        # The answer of a node does not contain the version; all tokens must be of the same version.
        for version in (outcome.version,) if outcome.version else VERSIONS:
            expected = expected_tokens(self.model, version, self.prompt, self.max_tokens)
            if outcome.tokens == expected[first:]:
                return ""
        return "tokens of another request or version"

    async def send(self, client: HttpClient) -> RequestOutcome:
        """Send the request and return its outcome."""
        body = {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }
        if self.resume:
            body["resume"] = {"version": self.resume[0], "tokens": self.resume[1]}
        if self.target.kind != "node":
            body["priority"] = "patient" if self.patient else "urgent"
        headers = (
            ("content-type", "application/json"),
            ("priority", f"u={5 if self.patient else 1}"),
        )
        data = json.dumps(body).encode()
        address = self.target.address
        opened = await client.open(
            address, "POST", "/v1/completions", headers=headers, body=data, new_connection=True
        )
        match opened:
            case Err(error):
                return RequestOutcome(detail=f"{error.step}: {error.detail}")
            case Ok(stream) if stream.status == 200 and self.stream:
                return await self._read_events(stream)
            case Ok(stream):
                return await self._read_whole(stream)

    @staticmethod
    async def _read_whole(stream) -> RequestOutcome:
        result = await stream.read_all()
        if isinstance(result, Err):
            return RequestOutcome(stream.status, detail=result.err_value.detail)
        answer = json.loads(result.ok_value)
        if stream.status != 200:
            reason, ran = answer.get("reason", ""), answer.get("ran", "")
            return RequestOutcome(stream.status, True, reason=reason, ran=ran)
        if "tokens" in answer:
            return RequestOutcome(200, True, answer["version"], (), tuple(answer["tokens"]))
        return RequestOutcome(200, True, "", (), split_text(answer["choices"][0]["text"]))

    @staticmethod
    async def _read_events(stream) -> RequestOutcome:
        parser, events, detail = SseParser(), [], ""
        while True:
            match await stream.read():
                case Ok(b""):
                    break
                case Ok(data):
                    events += parser.feed(data)
                case Err(error):
                    detail = error.detail
                    break
        complete = bool(events) and events[-1] == "[DONE]"
        decoded = [json.loads(event) for event in events if event != "[DONE]"]
        error_fields = next((event["error"] for event in decoded if "error" in event), {})
        chunks = [event for event in decoded if "choices" in event]
        if chunks:
            text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
            reason, ran = error_fields.get("reason", ""), error_fields.get("ran", "")
            return RequestOutcome(200, complete, "", (), split_text(text), reason, ran, detail)
        tokens = [event for event in decoded if "token" in event]
        version = tokens[0]["version"] if tokens else ""
        return RequestOutcome(
            200,
            complete,
            version,
            tuple(event["index"] for event in tokens),
            tuple(event["token"] for event in tokens),
            error_fields.get("reason", ""),
            error_fields.get("ran", ""),
            detail,
        )


def split_text(text: str) -> tuple[str, ...]:
    """Split the text of an answer into the tokens of the stand-in engine."""
    return tuple(text[start : start + TOKEN_LENGTH] for start in range(0, len(text), TOKEN_LENGTH))
