"""The interface of a policy under measurement."""

from typing import Protocol

from .engine import Engine
from .trace import Arrival

__all__ = ["Policy"]


class Policy(Protocol):
    """A policy that routes requests to engines and moves models."""

    def start(self, until: float) -> None:
        """Schedule the periodic work up to the time ``until``."""

    def on_arrival(self, arrival: Arrival) -> None:
        """Handle the arrival of a request."""

    def on_engines_lost(self, engines: list[Engine]) -> None:
        """Handle the loss of engines, which breaks their streams."""

    def on_engines_recovered(self, engines: list[Engine]) -> None:
        """Handle that engines are reachable again."""
