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
# The stand-in's tokens are 8 hexadecimal digits.
TOKEN_CHARS = 8


@dataclass(frozen=True)
class RequestOutcome:
    """What a caller saw. ``status`` 0 means that no answer began; ``ran`` is a refusal's word.

    ``complete`` is True if the answer came to its own end.
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
    """A request to ``target``. Prompts differ, so each digest belongs to one request.

    ``crashes`` says that its prompt contains the engines' crash marker.
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
        """The digest under which engines count the starts of this request."""
        return request_digest(self.model, self.prompt)

    @property
    def outcome(self) -> RequestOutcome:
        """The outcome, as soon as there is one."""
        assert self.future is not None
        return self.future.result(TIMEOUT_S)

    def with_future(self, future: "Future[RequestOutcome]") -> "RequestCall":
        """Return the request as sent."""
        return replace(self, future=future)

    def judge(self) -> str:
        """Return "" for a complete and right answer, or else what is wrong with it."""
        seen = self.outcome
        if seen.status != 200:
            return f"refused with {seen.status} {seen.reason} {seen.detail}"
        if not seen.complete:
            return f"broken after {len(seen.tokens)} tokens: {seen.detail}"
        first = self.resume[1] if self.resume else 0
        if seen.indexes and seen.indexes != tuple(range(first, self.max_tokens)):
            return f"token numbers {seen.indexes}"
        # A node's answer does not name the version; the tokens must all be of one.
        for version in (seen.version,) if seen.version else VERSIONS:
            want = expected_tokens(self.model, version, self.prompt, self.max_tokens)
            if seen.tokens == want[first:]:
                return ""
        return "tokens of another request or version"

    async def run(self, client: HttpClient) -> RequestOutcome:
        """Send the request and read its answer."""
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
        read = await stream.read_all()
        if isinstance(read, Err):
            return RequestOutcome(stream.status, detail=read.err_value.detail)
        answer = json.loads(read.ok_value)
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
        failed = next((event["error"] for event in decoded if "error" in event), {})
        chunks = [event for event in decoded if "choices" in event]
        if chunks:
            text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
            reason, ran = failed.get("reason", ""), failed.get("ran", "")
            return RequestOutcome(200, complete, "", (), split_text(text), reason, ran, detail)
        tokens = [event for event in decoded if "token" in event]
        version = tokens[0]["version"] if tokens else ""
        return RequestOutcome(
            200,
            complete,
            version,
            tuple(event["index"] for event in tokens),
            tuple(event["token"] for event in tokens),
            failed.get("reason", ""),
            failed.get("ran", ""),
            detail,
        )


def split_text(text: str) -> tuple[str, ...]:
    """Return the engine's tokens in the text of a node's answer."""
    return tuple(text[at : at + TOKEN_CHARS] for at in range(0, len(text), TOKEN_CHARS))
