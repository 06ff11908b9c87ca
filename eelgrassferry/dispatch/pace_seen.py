"""One observation of how fast an upstream reads prompts."""

from dataclasses import dataclass

__all__ = ["PaceSeen"]


@dataclass(frozen=True)
class PaceSeen:
    """One observation: ``factor`` is the slowness of an upstream and a model together."""

    instance: str
    model: str
    factor: float
