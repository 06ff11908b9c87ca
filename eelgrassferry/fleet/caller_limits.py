"""Limits on callers' requests and connections."""

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True)
class CallerLimits:
    """Limits on one caller's connection, which the operators configure.

    The defaults apply until a node has received its first configuration.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
