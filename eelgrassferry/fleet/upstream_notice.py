"""What an upstream says of itself in an answer."""

from dataclasses import dataclass

__all__ = ["NO_NOTICE", "UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """What an upstream says of itself in the head of an answer.

    ``leaving`` is true if it leaves soon and is to get no further requests. ``pause_s`` is the time
    in seconds for which it asks this node for no further requests, 0 if it does not ask.
    ``limit_per_s`` is the number of requests per second that it takes from all nodes together, or
    None if it names no limit.
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None


NO_NOTICE = UpstreamNotice()
