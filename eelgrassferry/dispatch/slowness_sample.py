"""Sample of the prefill slowness of an upstream."""

from dataclasses import dataclass

__all__ = ["SlownessSample"]


@dataclass(frozen=True)
class SlownessSample:
    """Slowness factor of a model at an upstream, from one time to the first event."""

    instance: str
    model: str
    factor: float
