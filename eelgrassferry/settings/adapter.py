"""An adapter that rides on a base model."""

from dataclasses import dataclass

__all__ = ["Adapter"]


@dataclass(frozen=True)
class Adapter:
    """An adapter is loaded only on an upstream where its base model is resident."""

    name: str
    base: str
    memory_mib: int
    version: str = "1"
    urgent: bool = True
