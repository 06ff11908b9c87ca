"""Sample of the prefill slowness of an upstream."""

from dataclasses import dataclass

__all__ = ["PaceSeen"]


@dataclass(frozen=True)
class PaceSeen:
    """Slowness factor of a model at an upstream, from one time to the first event."""

    instance: str
    model: str
    factor: float
