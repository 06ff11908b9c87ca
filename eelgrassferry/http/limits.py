"""Size limits of one HTTP connection."""

from dataclasses import dataclass

__all__ = ["HttpLimits"]


@dataclass(frozen=True)
class HttpLimits:
    """What a server accepts on one connection, in bytes and seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 75.0
    request_timeout_s: float = 20.0
