"""Settings of an adapter of a base model."""

from dataclasses import dataclass

__all__ = ["Adapter"]


@dataclass(frozen=True)
class Adapter:
    """Settings of one adapter, which is loaded only where its base model is resident."""

    name: str
    base: str
    memory_mib: int
    version: str = "1"
    urgent: bool = True
