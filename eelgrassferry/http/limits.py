"""Size and time limits of an HTTP connection."""

from dataclasses import dataclass

__all__ = ["HttpLimits"]


@dataclass(frozen=True)
class HttpLimits:
    """The limits of a server for one connection.

    ``idle_timeout_s`` limits each read until the head of a request is complete, and
    ``request_timeout_s`` each read after that.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 75.0
    request_timeout_s: float = 20.0
