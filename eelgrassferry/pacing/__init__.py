"""Pacing of what is limited to a rate with a burst, without I/O."""

from .pace import Pace

__all__ = ["Pace"]
