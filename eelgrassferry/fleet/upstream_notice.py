"""What an upstream says of itself in an answer."""

from dataclasses import dataclass

__all__ = ["NO_NOTICE", "UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """What an upstream says of itself in the head of an answer.

    ``leaving`` is true if it leaves soon and is to get no further requests.
    """

    leaving: bool = False


NO_NOTICE = UpstreamNotice()
