"""Settings of a base model."""

from dataclasses import dataclass

__all__ = ["Model"]


@dataclass(frozen=True)
class Model:
    """Settings of one base model.

    ``memory_mib`` is the memory for weights and working data on one upstream. ``first_token_s`` and
    ``token_gap_s`` are the latency targets, in seconds, for the first token and between tokens.
    """

    name: str
    memory_mib: int
    version: str = "1"
    first_token_s: float = 0.35
    token_gap_s: float = 0.044
    urgent: bool = True
    max_tokens: int = 4096
    min_replicas: int = 1
