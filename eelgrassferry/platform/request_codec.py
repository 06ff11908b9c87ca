"""Headers of callers' requests and of upstreams' answers."""

from result import Err, Ok, Result

from ..forwarding import AnswerHead, RawHeaders, RequestMetadata
from .codec_error import CodecError

__all__ = ["decode_answer", "decode_request", "encode_request"]

REQUEST_ID = b"eelgrassferry-request-id"
DEADLINE = b"eelgrassferry-deadline-ms"
MODEL = b"eelgrassferry-model"
TOKENS = b"eelgrassferry-token-counts"
PREFIX = b"eelgrassferry-prompt-prefix"
SEAL = b"eelgrassferry-server-seal"
NOT_EXECUTED = b"eelgrassferry-not-executed"
INSTANCE = b"eelgrassferry-instance-id"
LAST_EVENT_ID = b"last-event-id"

# Headers that only the system may set; what a caller sends under these names is dropped.
SYSTEM_HEADERS = frozenset(
    name
    for stem in (
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
    for name in (stem, b"eelgrassferry-" + stem)
)
# Headers that concern one connection only (RFC 9110, 7.6.1), and those that frame a body.
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
    """Return what a caller's headers say about its request."""
    found = _first_values(headers)
    request_id = found.get(REQUEST_ID, b"").decode("latin-1")
    try:
        deadline = found.get(DEADLINE)
        # The part before the slash is the model, the part after it one of its adapters.
        model, _, adapter = found.get(MODEL, b"").decode("latin-1").partition("/")
        counts = [int(part) for part in found.get(TOKENS, b"").split(b",") if part.strip()]
        return Ok(
            RequestMetadata(
                request_id=request_id,
                host=found.get(b"host", b"").decode("latin-1"),
                deadline_s=None if deadline is None else max(0.0, float(deadline) / 1000.0),
                model=model,
                adapter=adapter,
                prompt_tokens=counts[0] if counts else 0,
                max_output_tokens=counts[1] if len(counts) > 1 else 0,
                prompt_parts=_parts(found.get(PREFIX, b"")),
            )
        )
    except ValueError as exc:
        return Err(CodecError("decode_request", request_id, str(exc)))


def encode_request(
    headers: RawHeaders, instance: str, left_s: float, urgency: int, last_event_id: str
) -> list[tuple[bytes, bytes]]:
    """Return the headers under which a request is passed on to one upstream.

    ``left_s`` is the time that the upstream has. ``last_event_id`` is set where a broken stream
    goes on at another upstream.
    """
    listed = _connection_names(headers)
    passed = []
    for name, value in headers:
        lower = name.lower()
        if lower in CONNECTION_HEADERS or lower in SYSTEM_HEADERS or lower in listed:
            continue
        if lower == LAST_EVENT_ID and last_event_id:
            continue
        passed.append((name, value))
    passed += (
        (b"Eelgrassferry-Deadline-Ms", str(max(1, int(left_s * 1000))).encode()),
        (b"Eelgrassferry-Expect-Instance", instance.encode("latin-1")),
        (b"Eelgrassferry-Request-Urgency", str(min(9, max(0, urgency))).encode()),
    )
    if last_event_id:
        passed.append((b"Last-Event-Id", last_event_id.encode("latin-1")))
    return passed


def decode_answer(status: int, headers: RawHeaders) -> AnswerHead:
    """Return what an upstream's status and headers say."""
    found = _first_values(headers)
    listed = _connection_names(headers)
    encoding = found.get(b"content-encoding", b"identity").strip().lower()
    return AnswerHead(
        status=status,
        request_id=found.get(REQUEST_ID, b"").decode("latin-1"),
        # Present, with any value, where the upstream did not run the request.
        not_run=NOT_EXECUTED in found,
        sealed=SEAL in found,
        encoded=encoding not in (b"", b"identity"),
        idle_limit_s=_keep_alive_s(found.get(b"keep-alive", b"")),
        instance=found.get(INSTANCE, b"").decode("latin-1"),
        closes=b"close" in found.get(b"connection", b"").lower(),
        forwarded_headers=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in CONNECTION_HEADERS and name.lower() not in listed
        ),
    )


def _first_values(headers: RawHeaders) -> dict[bytes, bytes]:
    """Return the first value of each header by its name in lower case."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        found.setdefault(name.lower(), value)
    return found


def _connection_names(headers: RawHeaders) -> frozenset[bytes]:
    """Return the header names that a Connection header declares as concerning one connection."""
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names) - {REQUEST_ID, MODEL, TOKENS, PREFIX, b"host"}


def _parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in value.decode("latin-1").split(","):
        name, found, tokens = part.strip().partition(":")
        if found:
            parts.append((name, int(tokens)))
    return tuple(parts)


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
