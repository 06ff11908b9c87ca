"""Size and time limits of an HTTP connection."""

from dataclasses import dataclass

__all__ = ["HttpLimits"]


@dataclass(frozen=True)
class HttpLimits:
    """The limits of a server for one connection.

    ``idle_timeout_s`` limits the time until the first byte of a request, and
    ``request_timeout_s`` the time from its first byte to its end. ``max_connections`` is the number
    of connections up to which none is closed for a new one; None sets no limit.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 75.0
    request_timeout_s: float = 20.0
    max_connections: float | None = None
