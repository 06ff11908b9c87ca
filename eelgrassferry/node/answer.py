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
        if not self._out.started:
            await self._start()
        events = [format_event(json.dumps(self._chunk(token.text))) for token in tokens]
        await self._out.write(b"".join(events))

    async def finish(self) -> None:
        """End the answer."""
        if not self._call.stream:
            await self._out.send(HttpResponse.of_json(self._whole(), headers=self._headers()))
            return
        if not self._out.started:
            await self._start()
        last = format_event(json.dumps(self._chunk("", "stop")))
        await self._out.write(last + format_event("[DONE]"))
        await self._out.finish()

    async def fail(self, problem: Problem) -> None:
        """Report a failure, in the form that is still possible."""
        response = problem.to_response()
        if not self._out.started:
            await self._out.send(response)
            return
        await self._out.write(format_event(json.dumps({"error": response.json()})))
        await self._out.finish()

    def _headers(self) -> tuple[tuple[str, str], ...]:
        return (("x-request-id", self._call.request_id),)

    async def _start(self) -> None:
        stream = (("content-type", "text/event-stream"), ("cache-control", "no-store"))
        await self._out.start(200, (*stream, *self._headers()))

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
