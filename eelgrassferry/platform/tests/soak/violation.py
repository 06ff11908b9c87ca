"""A violation of the guarantees that a soak checks."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True)
class Violation:
    """A violated invariant and the observation that shows it."""

    invariant: str
    detail: str
