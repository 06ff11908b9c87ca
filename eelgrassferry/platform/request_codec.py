"""Codecs for the headers of callers' requests and of upstreams' responses."""

import math

from result import Err, Ok, Result

from ..fleet import UpstreamNotice
from ..forwarding import AnswerHead, RawHeaders, RequestMetadata
from .codec_error import CodecError

__all__ = ["decode_answer", "decode_request", "encode_request"]

REQUEST_ID = b"eelgrassferry-request-id"
DEADLINE = b"eelgrassferry-deadline-ms"
MODEL = b"eelgrassferry-model"
TOKEN_COUNTS = b"eelgrassferry-token-counts"
PROMPT_PREFIX = b"eelgrassferry-prompt-prefix"
SERVER_SEAL = b"eelgrassferry-server-seal"
NOT_EXECUTED = b"eelgrassferry-not-executed"
INSTANCE = b"eelgrassferry-instance-id"
LAST_EVENT_ID = b"last-event-id"
API_KEY = b"x-api-key"
TENANT = b"eelgrassferry-tenant"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"

# A number of tokens with more digits is malformed.
MAX_TOKEN_DIGITS = 9
# Longest pause and longest idle time that an upstream may name, in seconds. A greater number is not
# one that an operator has meant.
MAX_PAUSE_S = 86_400.0
MAX_IDLE_S = 3600.0

# Statuses with which a server turns a request away, and may add for how long.
TURNED_AWAY = (429, 503)

# Headers that only the system may set. Those sent by a caller are removed.
SYSTEM_HEADERS = frozenset(
    name
    for base_name in (
        b"expect-instance",
        b"expect-version",
        b"request-urgency",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"server-seal",
        b"not-executed",
        b"instance-id",
        b"weight-versions",
        b"deadline-ms",
    )
    for name in (base_name, b"eelgrassferry-" + base_name)
)
# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that frame a body.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
        b"http2-settings",
    )
)


def decode_request(headers: RawHeaders) -> Result[RequestMetadata, CodecError]:
    """Return the model, deadline, token counts, key and identity given by a request's headers.

    Absent headers give empty values or zero. A malformed number is a ``CodecError``.
    """
    values = _first_values(headers)
    request_id = values.get(REQUEST_ID, b"").decode("latin-1")
    try:
        deadline = values.get(DEADLINE)
        deadline_s = None if deadline is None else _parse_finite(deadline) / 1000.0
        # The header's form is MODEL or MODEL/ADAPTER.
        model, _, adapter = values.get(MODEL, b"").decode("latin-1").partition("/")
        parts = values.get(TOKEN_COUNTS, b"").decode("latin-1").split(",")
        counts = [_parse_tokens(part) for part in parts if part.strip()]
        return Ok(
            RequestMetadata(
                request_id=request_id,
                host=values.get(b"host", b"").decode("latin-1"),
                deadline_s=None if deadline_s is None else max(0.0, deadline_s),
                model=model,
                adapter=adapter,
                prompt_tokens=counts[0] if counts else 0,
                max_output_tokens=counts[1] if len(counts) > 1 else 0,
                prompt_parts=_parse_prompt_parts(values.get(PROMPT_PREFIX, b"")),
                key=_read_key(headers),
                tokens=sum(counts) if counts else None,
            )
        )
    except ValueError as exc:
        return Err(CodecError("decode_request", request_id, str(exc)))


def encode_request(
    headers: RawHeaders,
    instance: str,
    remaining_s: float,
    urgency: int,
    last_event_id: str,
    tenant: str | None = None,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is forwarded to one upstream.

    Hop-by-hop headers and system headers of the caller are removed, and the system's own are added.
    ``remaining_s`` is the time in seconds that the upstream has to answer. ``last_event_id`` is the
    id of the event after which a broken stream is resumed at another upstream, else empty.

    The key and any tenant named by the caller are removed, and ``tenant`` is named unless it is
    empty. None means that the fleet has no tenants: these headers are then the caller's own.
    """
    connection_names = _connection_names(headers)
    forwarded = []
    for name, value in headers:
        lower = name.lower()
        if lower in CONNECTION_HEADERS or lower in SYSTEM_HEADERS or lower in connection_names:
            continue
        if lower == LAST_EVENT_ID and last_event_id:
            continue
        if tenant is not None and lower in (API_KEY, TENANT):
            continue
        forwarded.append((name, value))
    forwarded += (
        (b"Eelgrassferry-Deadline-Ms", str(max(1, int(remaining_s * 1000))).encode()),
        (b"Eelgrassferry-Expect-Instance", instance.encode("latin-1")),
        (b"Eelgrassferry-Request-Urgency", str(min(9, max(0, urgency))).encode()),
    )
    if tenant:
        forwarded.append((b"Eelgrassferry-Tenant", tenant.encode()))
    if last_event_id:
        forwarded.append((b"Last-Event-Id", last_event_id.encode("latin-1")))
    return forwarded


def decode_answer(status: int, headers: RawHeaders) -> AnswerHead:
    """Return the decoded status and headers of an upstream's response."""
    values = _first_values(headers)
    connection_names = _connection_names(headers)
    encoding = values.get(b"content-encoding", b"identity").strip().lower()
    return AnswerHead(
        status=status,
        request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
        # An upstream that did not run the request sets this header, with any value.
        not_run=NOT_EXECUTED in values,
        sealed=SERVER_SEAL in values,
        encoded=encoding not in (b"", b"identity"),
        idle_limit_s=_parse_keep_alive_s(values.get(b"keep-alive", b"")),
        instance=values.get(INSTANCE, b"").decode("latin-1"),
        closes=b"close" in values.get(b"connection", b"").lower(),
        forwarded_headers=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in CONNECTION_HEADERS and name.lower() not in connection_names
        ),
        notice=UpstreamNotice(
            leaving=values.get(SERVER_LEAVING, b"").strip() == b"1",
            # Retry-After may also be a date. It is ignored, because the clocks of two hosts may
            # differ by more than the time it means.
            pause_s=_parse_pause_s(values.get(RETRY_AFTER, b"")) if status in TURNED_AWAY else 0.0,
            limit_per_s=_parse_number(values.get(SERVER_LIMIT, b"")),
        ),
    )


def _first_values(headers: RawHeaders) -> dict[bytes, bytes]:
    """Return the first value of each header, keyed by its lower-case name."""
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        values.setdefault(name.lower(), value)
    return values


def _read_key(headers: RawHeaders) -> str:
    """Return the caller's key, "" if there is none that a tenant could hold.

    Of two keys, neither counts: which one is meant would be a guess.
    """
    keys = [value for name, value in headers if name.lower() == API_KEY]
    return keys[0].decode() if len(keys) == 1 and keys[0].isascii() else ""


def _connection_names(headers: RawHeaders) -> frozenset[bytes]:
    """Return the header names that Connection headers declare as hop-by-hop.

    Headers that the system needs are excluded, so that a caller cannot have them removed.
    """
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names) - {REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PREFIX, b"host"}


def _parse_prompt_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in value.decode("latin-1").split(","):
        name, separator, tokens = part.strip().partition(":")
        if separator:
            parts.append((name, _parse_tokens(tokens)))
    return tuple(parts)


def _parse_tokens(text: str) -> int:
    """Return a number of tokens; raise ``ValueError`` for any other text."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_TOKEN_DIGITS):
        raise ValueError(f"{digits[:20]!r} is not a number of tokens")
    return int(digits)


def _parse_finite(value: bytes) -> float:
    """Return a finite number; raise ``ValueError`` for any other value."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value[:20]!r} is not a finite number")
    return number


def _parse_number(value: bytes) -> float | None:
    """Return a decimal number that is at least 0, or None for any other value."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < float("inf") else None


def _parse_pause_s(value: bytes) -> float:
    """Return the pause that an upstream asks for in seconds, 0 if there is none."""
    pause_s = _parse_number(value)
    return 0.0 if pause_s is None or pause_s > MAX_PAUSE_S else pause_s


def _parse_keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return min(MAX_IDLE_S, float(number))
    return None
