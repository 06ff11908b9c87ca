"""One completion request of the engine stand-in, and the form of its answers."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..http import ExecutionStatus, HttpRequest, Problem
from .tokens import count_prompt_tokens, join_tokens, render_chat

__all__ = ["Completion", "parse_completion"]

MAX_TOKENS = 100_000
DEFAULT_TOKENS = 16


@dataclass(frozen=True)
class Completion:
    """A parsed request. ``version`` is empty where the caller names none.

    ``first`` is the index of the first token to produce; ``max_tokens`` counts the whole answer,
    so a resumed request produces ``max_tokens - first`` tokens.
    """

    request_id: str
    name: str
    version: str
    prompt: str
    chat: bool
    max_tokens: int
    stream: bool
    urgent: bool
    first: int

    def format_event(self, index: int, token: str, version: str) -> str:
        """Return the data of the event that carries one token."""
        event = {"id": self.request_id, "index": index, "token": token, "version": version}
        return json.dumps(event, separators=(",", ":"))

    def format_answer(self, tokens: Sequence[str], version: str) -> dict[str, Any]:
        """Return the body of a whole answer; ``tokens`` repeats the text token by token."""
        text = join_tokens(tokens)
        prompt_tokens = count_prompt_tokens(self.prompt)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": self.request_id,
            "object": "chat.completion" if self.chat else "text_completion",
            "model": self.name,
            "version": version,
            "choices": [choice],
            "tokens": list(tokens),
            "first_index": self.first,
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": len(tokens)},
        }


def parse_completion(
    req: HttpRequest, request_id: str, *, chat: bool
) -> Result[Completion, Problem]:
    """Return the request, or a problem with the first field that is malformed.

    ``priority`` is ``urgent``, ``patient`` or an urgency from 0 to 7 (0 to 3 urgent). The
    extensions are ``version`` and ``resume: {version, tokens}``, where ``tokens`` is the number of
    tokens already received or a list of them.
    """
    try:
        values = json.loads(req.body)
        resume = values.get("resume") or {}
        tokens = resume.get("tokens") or 0
        max_tokens = values.get("max_tokens")
        completion = Completion(
            request_id=request_id,
            name=_text(values["model"]),
            version=_text(resume.get("version") or values.get("version") or ""),
            prompt=render_chat(values["messages"]) if chat else _text(values["prompt"]),
            chat=chat,
            max_tokens=DEFAULT_TOKENS if max_tokens is None else _number(max_tokens),
            stream=bool(values.get("stream", False)),
            urgent=_is_urgent(values.get("priority", "urgent")),
            first=len(tokens) if isinstance(tokens, list) else _number(tokens),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return _refuse(request_id, f"malformed request: {type(exc).__name__}: {exc}")
    if not 1 <= completion.max_tokens <= MAX_TOKENS:
        return _refuse(request_id, f"max_tokens must be between 1 and {MAX_TOKENS}")
    if not 0 <= completion.first <= completion.max_tokens:
        return _refuse(request_id, "resume.tokens must be between 0 and max_tokens")
    return Ok(completion)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _number(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    return value


def _is_urgent(value: Any) -> bool:
    if isinstance(value, int):
        return value <= 3
    if value in ("urgent", "patient"):
        return value == "urgent"
    raise ValueError(f"priority {value!r} is neither urgent, patient nor a number")


def _refuse(request_id: str, detail: str) -> Err[Problem]:
    return Err(Problem(400, "bad_request", ExecutionStatus.NO, detail, request_id))
