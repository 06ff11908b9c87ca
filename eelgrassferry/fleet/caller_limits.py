"""What a caller may send and how long its connection may be idle."""

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on one caller's connection, set by the operators. The defaults apply until the first
    configuration is known.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
