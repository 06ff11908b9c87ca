"""What a measured policy is told."""

from typing import Protocol

from .engine import Engine
from .trace import Arrival

__all__ = ["Policy"]


class Policy(Protocol):
    """Routes arrivals to engines and moves models."""

    def start(self, until: float) -> None:
        """Schedule periodic work up to a time."""

    def arrive(self, arrival: Arrival) -> None:
        """Take a request."""

    def engines_lost(self, engines: list[Engine]) -> None:
        """Take that engines became unreachable; their streams are broken."""

    def engines_back(self, engines: list[Engine]) -> None:
        """Take that engines are reachable again."""
