"""Writer of a model's answer to its caller, streamed or as a single response."""

import json
import time
from typing import Any

from ..http import HttpResponse, Problem, Responder, format_event
from .engine_client import Token
from .model_call import CallKind, ModelCall

__all__ = ["AnswerWriter"]


class AnswerWriter:
    """Writes the answer to one request in the form that its caller requested.

    A streamed answer starts with its first token, so that an earlier refusal can still be sent as a
    problem document. A later failure is sent as an ``error`` event without a final ``[DONE]``.
    """

    def __init__(self, call: ModelCall, out: Responder) -> None:
        self._call = call
        self._out = out
        self._texts: list[str] = []
        self._created = int(time.time())
        self._event_affixes: tuple[str, str] | None = None
        self.version = ""

    @property
    def token_count(self) -> int:
        """The number of tokens received so far."""
        return len(self._texts)

    async def write_tokens(self, tokens: tuple[Token, ...]) -> None:
        """Add tokens to the answer; a streamed answer sends them in one write."""
        self._texts.extend(token.text for token in tokens)
        if tokens:
            self.version = tokens[-1].version
        if not self._call.stream or not tokens:
            return
        await self._write(b"".join([self._format_token(token.text) for token in tokens]))

    async def finish(self) -> None:
        """Complete the answer."""
        if not self._call.stream:
            await self._out.send(
                HttpResponse.of_json(self._make_full_document(), headers=self._headers())
            )
            return
        last = format_event(json.dumps(self._make_chunk("", "stop"))) + format_event("[DONE]")
        if not self._out.started:
            await self._write(b"")
        await self._out.finish(last)

    async def send_problem(self, problem: Problem) -> None:
        """Send a failure, as an ``error`` event if the answer has already started."""
        response = problem.to_response()
        if not self._out.started:
            await self._out.send(response)
            return
        await self._out.finish(format_event(json.dumps({"error": response.json()})))

    def _headers(self) -> tuple[tuple[str, str], ...]:
        return (("x-request-id", self._call.request_id),)

    async def _write(self, data: bytes) -> None:
        """Write data to the stream; the first write includes the response head."""
        if self._out.started:
            await self._out.write(data)
            return
        stream = (("content-type", "text/event-stream"), ("cache-control", "no-store"))
        await self._out.start(200, (*stream, *self._headers()), data)

    def _format_token(self, text: str) -> bytes:
        """Return the event of one token.

        All events of an answer differ only in the text, so the rest is encoded once.
        """
        if self._event_affixes is None:
            field = "content" if self._call.kind is CallKind.CHAT else "text"
            # Quotes within names are escaped, so this pattern matches only the field itself.
            before, _, after = json.dumps(self._make_chunk("")).partition(f'"{field}": ""')
            self._event_affixes = f'data: {before}"{field}": ', f"{after}\n\n"
        before, after = self._event_affixes
        return f"{before}{json.dumps(text)}{after}".encode()

    def _make_chunk(self, text: str, finish_reason: str | None = None) -> dict[str, Any]:
        if self._call.kind is CallKind.CHAT:
            choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
            return self._make_document("chat.completion.chunk", choice)
        choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        return self._make_document("text_completion", choice)

    def _make_full_document(self) -> dict[str, Any]:
        text = "".join(self._texts)
        if self._call.kind is CallKind.CHAT:
            message = {"role": "assistant", "content": text}
            choice: dict[str, Any] = {"index": 0, "message": message, "finish_reason": "stop"}
            document = self._make_document("chat.completion", choice)
        else:
            choice = {"index": 0, "text": text, "finish_reason": "stop"}
            document = self._make_document("text_completion", choice)
        return document | {"usage": {"completion_tokens": self.token_count}}

    def _make_document(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._call.request_id,
            "object": kind,
            "created": self._created,
            "model": self._call.name,
            "choices": [choice],
        }
