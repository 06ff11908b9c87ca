"""Writes one model answer to its caller, streamed or whole."""

import json
import time
from typing import Any

from ..http import HttpResponse, Problem, Responder, format_event
from .engine_client import Token
from .model_call import CallKind, ModelCall

__all__ = ["Answer"]


class Answer:
    """The answer to one request, in the form its caller asked for.

    A streamed answer starts with its first token, so that a refusal before it is still a problem
    document. A failure after it is an ``error`` event, and ``[DONE]`` is left out.
    """

    def __init__(self, call: ModelCall, out: Responder) -> None:
        self._call = call
        self._out = out
        self._texts: list[str] = []
        self._created = int(time.time())
        self._around_text: tuple[str, str] | None = None
        self.version = ""

    @property
    def count(self) -> int:
        """The number of tokens received so far."""
        return len(self._texts)

    async def add(self, tokens: tuple[Token, ...]) -> None:
        """Pass on tokens that arrived together, in one write."""
        self._texts.extend(token.text for token in tokens)
        if tokens:
            self.version = tokens[-1].version
        if not self._call.stream or not tokens:
            return
        await self._write(b"".join([self._format_token(token.text) for token in tokens]))

    async def finish(self) -> None:
        """End the answer."""
        if not self._call.stream:
            await self._out.send(HttpResponse.of_json(self._whole(), headers=self._headers()))
            return
        last = format_event(json.dumps(self._chunk("", "stop"))) + format_event("[DONE]")
        if not self._out.started:
            await self._write(b"")
        await self._out.finish(last)

    async def fail(self, problem: Problem) -> None:
        """Report a failure, in the form that is still possible."""
        response = problem.to_response()
        if not self._out.started:
            await self._out.send(response)
            return
        await self._out.finish(format_event(json.dumps({"error": response.json()})))

    def _headers(self) -> tuple[tuple[str, str], ...]:
        return (("x-request-id", self._call.request_id),)

    async def _write(self, data: bytes) -> None:
        """Write a part of the stream; the first one goes out with the head."""
        if self._out.started:
            await self._out.write(data)
            return
        stream = (("content-type", "text/event-stream"), ("cache-control", "no-store"))
        await self._out.start(200, (*stream, *self._headers()), data)

    def _format_token(self, text: str) -> bytes:
        """Return the event of one token. Only the text differs between the events of an answer."""
        if self._around_text is None:
            field = "content" if self._call.kind is CallKind.CHAT else "text"
            # Quotes within names are escaped, so this text occurs at the field only.
            before, _, after = json.dumps(self._chunk("")).partition(f'"{field}": ""')
            self._around_text = f'data: {before}"{field}": ', f"{after}\n\n"
        before, after = self._around_text
        return f"{before}{json.dumps(text)}{after}".encode()

    def _chunk(self, text: str, finish_reason: str | None = None) -> dict[str, Any]:
        if self._call.kind is CallKind.CHAT:
            choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
            return self._document("chat.completion.chunk", choice)
        choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        return self._document("text_completion", choice)

    def _whole(self) -> dict[str, Any]:
        text = "".join(self._texts)
        if self._call.kind is CallKind.CHAT:
            message = {"role": "assistant", "content": text}
            choice: dict[str, Any] = {"index": 0, "message": message, "finish_reason": "stop"}
            document = self._document("chat.completion", choice)
        else:
            choice = {"index": 0, "text": text, "finish_reason": "stop"}
            document = self._document("text_completion", choice)
        return document | {"usage": {"completion_tokens": self.count}}

    def _document(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._call.request_id,
            "object": kind,
            "created": self._created,
            "model": self._call.name,
            "choices": [choice],
        }
