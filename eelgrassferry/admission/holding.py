"""What one connection holds of a node's memory."""

from enum import Enum
from typing import Any

__all__ = ["Holding", "HoldingState"]


class HoldingState(Enum):
    """What a connection does with what it holds."""

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    SENDING = "sending"


class Holding:
    """Memory that a node holds for one connection.

    ``owner`` is the connection. ``bytes_held`` counts everything that is held for it, and
    ``bytes_left`` what is missing to the end of its request or answer. ``progress_at`` is the time
    in seconds at which the peer last sent or took bytes. A ``RUNNING`` connection waits for this
    node, not for its peer.
    """

    __slots__ = ("bytes_held", "bytes_left", "owner", "progress_at", "state")

    def __init__(self, owner: Any, now: float) -> None:
        self.owner = owner
        self.state = HoldingState.IDLE
        self.bytes_held = 0
        self.bytes_left = 0
        self.progress_at = now
