"""What the headers of a request and of an answer say, in the project's terms."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["AnswerHead", "RawHeaders", "RequestFacts"]

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True)
class RequestFacts:
    """``prompt_parts`` are the parts of the prompt in order, as (part id, tokens); requests share
    all but the last.
    """

    request_id: str
    host: str
    deadline_s: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class AnswerHead:
    """``not_run`` is the upstream's statement that it did not run the request. ``sealed`` answers
    are the upstream's own. ``encoded`` bodies were changed on the way. ``idle_limit_s`` is the
    time after which the upstream closes an idle connection, None where it does not say.
    """

    status: int
    request_id: str
    not_run: bool
    sealed: bool
    encoded: bool
    idle_limit_s: float | None
    closes: bool
    passed_headers: tuple[tuple[bytes, bytes], ...]
    instance: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300
