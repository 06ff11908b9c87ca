"""Problem documents (RFC 9457) extended by a stable reason and the execution status."""

import json
from dataclasses import dataclass
from enum import Enum

from .message import HttpResponse

__all__ = ["ExecutionStatus", "Problem"]


class ExecutionStatus(Enum):
    """Whether an upstream executed a request, as far as this node knows."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Problem:
    """An error response.

    ``reason`` is a stable identifier that is also the name of the refusal's counter.

    >>> Problem(429, "queue_full", ExecutionStatus.NO, "the queue is full").to_response().status
    429
    """

    status: int
    reason: str
    ran: ExecutionStatus
    detail: str
    request_id: str = ""
    retry_after_s: float | None = None
    step: str = ""
    peer: str = ""

    def to_response(self) -> HttpResponse:
        """Return the problem as an ``application/problem+json`` response."""
        document = {
            "type": f"urn:eelgrassferry:problem:{self.reason}",
            "title": self.reason.replace("_", " "),
            "status": self.status,
            "detail": self.detail,
            "reason": self.reason,
            "ran": self.ran.value,
            "request_id": self.request_id,
        }
        document.update({k: v for k, v in (("step", self.step), ("peer", self.peer)) if v})
        headers = [("content-type", "application/problem+json")]
        if self.retry_after_s is not None:
            headers.append(("retry-after", f"{self.retry_after_s:.3f}".rstrip("0").rstrip(".")))
        return HttpResponse(self.status, tuple(headers), json.dumps(document).encode())
