"""Parsing and validation of completion and chat requests."""

import hashlib
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from ..http import ExecutionStatus, HttpRequest, Problem
from ..settings import Deployment

__all__ = ["CallKind", "ModelCall", "parse_model_call"]

COMMON_FIELDS = frozenset(
    {"model", "max_tokens", "stream", "temperature", "top_p", "seed", "stop", "user", "n"}
)
DEFAULT_MAX_TOKENS = 128
URGENT_DEADLINE_S = 30.0
FIRST_PATIENT_URGENCY = 4  # RFC 9218 urgencies 0 to 3 are urgent, 4 to 7 patient


class CallKind(Enum):
    """The form of a request: completion or chat."""

    COMPLETION = "completion"
    CHAT = "chat"


@dataclass(frozen=True)
class ModelCall:
    """A valid request for a model or an adapter.

    ``version`` is the version in force on arrival and ``prompt`` the text that the engine receives.
    ``digest`` is equal for requests with the same model and prompt. ``deadline_s`` is the time in
    seconds from the arrival.
    """

    request_id: str
    kind: CallKind
    name: str
    version: str
    prompt: str
    max_tokens: int
    stream: bool
    urgent: bool
    deadline_s: float
    digest: str
    body: bytes


def parse_model_call(
    req: HttpRequest, kind: CallKind, request_id: str, deployment: Deployment
) -> Result[ModelCall, Problem]:
    """Parse a request and validate its body and headers against the deployment."""

    def refuse(status: int, reason: str, detail: str) -> Err[Problem]:
        return Err(
            Problem(status, reason, ExecutionStatus.NO, detail, request_id, step="parse_request")
        )

    try:
        body = json.loads(req.body)
    except ValueError as exc:
        return refuse(400, "malformed_json", f"the body is not JSON: {exc}")
    if not isinstance(body, dict):
        return refuse(400, "malformed_json", "the body is not a JSON object")
    prompt_field = "prompt" if kind is CallKind.COMPLETION else "messages"
    unknown = sorted(set(body) - COMMON_FIELDS - {prompt_field})
    if unknown:
        return refuse(400, "unknown_field", f"unknown field {unknown[0]!r}")
    name = body.get("model")
    if not isinstance(name, str) or deployment.base_model_of(name) is None:
        return refuse(404, "unknown_model", f"no model or adapter is named {name!r}")
    prompt = _read_prompt(body.get(prompt_field), kind)
    if prompt is None:
        return refuse(400, "invalid_field", f"{prompt_field!r} is missing or of the wrong type")
    limit = deployment.models[deployment.base_model_of(name) or ""].max_tokens
    max_tokens = body.get("max_tokens", min(DEFAULT_MAX_TOKENS, limit))
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool):
        return refuse(400, "invalid_field", "'max_tokens' is not a whole number")
    if not 1 <= max_tokens <= limit:
        return refuse(400, "invalid_field", f"'max_tokens' is not between 1 and {limit}")
    if not isinstance(body.get("stream", False), bool):
        return refuse(400, "invalid_field", "'stream' is neither true nor false")
    if body.get("n", 1) != 1:
        return refuse(400, "invalid_field", "'n' above 1 is not supported")
    urgent = read_urgency(req, _default_urgent(name, deployment))
    if urgent is None:
        return refuse(400, "invalid_header", "the Priority header has no urgency from 0 to 7")
    deadline_s = _read_deadline(req, urgent, deployment)
    if deadline_s is None:
        return refuse(400, "invalid_header", "X-Deadline-Ms is not a positive number")
    return Ok(
        ModelCall(
            request_id=request_id,
            kind=kind,
            name=name,
            version=_configured_version(name, deployment),
            prompt=prompt,
            max_tokens=max_tokens,
            stream=body.get("stream", False),
            urgent=urgent,
            deadline_s=deadline_s,
            digest=digest_call(name, prompt),
            body=req.body,
        )
    )


def digest_call(name: str, prompt: str) -> str:
    """Return a digest of the model name and the prompt, without sampling options and limits.

    >>> digest_call("m", "p") == digest_call("m", "p")
    True
    """
    return hashlib.sha256(f"{name}\0{prompt}".encode()).hexdigest()[:16]


def read_urgency(req: HttpRequest, default: bool) -> bool | None:
    """Return whether a request is urgent by its ``Priority`` header, or ``default`` without one.

    Return None if the header is malformed.
    """
    value = req.header("priority")
    if value is None:
        return default
    for item in value.split(","):
        key, _, number = item.strip().partition("=")
        if key == "u":
            return int(number) < FIRST_PATIENT_URGENCY if number in set("01234567") else None
    return default


def _read_prompt(value: Any, kind: CallKind) -> str | None:
    if kind is CallKind.COMPLETION:
        return value if isinstance(value, str) and value else None
    if not isinstance(value, list) or not value:
        return None
    lines = []
    for message in value:
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            return None
        lines.append(f"{message.get('role', 'user')}: {message['content']}")
    return "\n".join(lines)


def _configured_version(name: str, deployment: Deployment) -> str:
    known = deployment.adapters.get(name) or deployment.models[name]
    return known.version


def _default_urgent(name: str, deployment: Deployment) -> bool:
    adapter = deployment.adapters.get(name)
    return adapter.urgent if adapter else deployment.models[name].urgent


def _read_deadline(req: HttpRequest, urgent: bool, deployment: Deployment) -> float | None:
    value = req.header("x-deadline-ms")
    if value is None:
        return URGENT_DEADLINE_S if urgent else deployment.site.patient_deadline_s
    try:
        deadline_s = float(value) / 1000.0
    except ValueError:
        return None
    return deadline_s if 0 < deadline_s < float("inf") else None
