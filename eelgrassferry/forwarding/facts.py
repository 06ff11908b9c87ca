"""The decoded heads of requests and answers."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..fleet import NO_NOTICE, UpstreamNotice

__all__ = ["AnswerHead", "RawHeaders", "RequestMetadata"]

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True)
class RequestMetadata:
    """The decoded headers of a caller's request.

    ``deadline_s`` is the time until the caller's deadline, or None if the request has none.
    ``prompt_parts`` are the parts of the prompt in order, each as (part id, number of tokens). All
    parts but the last may be shared with other requests. ``key`` is the tenant's key that the
    caller has sent, "" if there is none that a tenant could hold; it is secret, so the
    representation omits it. ``tokens`` is the sum of the token counts, or None if the request names
    none.
    """

    request_id: str
    host: str
    deadline_s: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
    key: str = field(default="", repr=False)
    tokens: int | None = None


@dataclass(frozen=True)
class AnswerHead:
    """The decoded status and headers of an upstream's answer.

    ``not_run`` is true if the upstream states that it did not run the request, ``sealed`` if the
    answer carries the seal with which an upstream marks its own answers, and ``encoded`` if the
    body has a content encoding, which an intermediary has applied. ``idle_limit_s`` is the time
    after which the upstream closes an idle connection, or None. ``closes`` is true if the
    upstream closes the connection after this answer. ``forwarded_headers`` are the headers to send
    to the caller, and ``instance`` is the id of the answering upstream, or empty.
    ``notice`` is what the upstream says of itself.
    """

    status: int
    request_id: str
    not_run: bool
    sealed: bool
    encoded: bool
    idle_limit_s: float | None
    closes: bool
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    instance: str = ""
    notice: UpstreamNotice = NO_NOTICE

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
