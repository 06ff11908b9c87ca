"""A model that callers can name."""

from dataclasses import dataclass

__all__ = ["Model"]


@dataclass(frozen=True)
class Model:
    """A base model. Memory covers weights and working memory on one upstream."""

    name: str
    memory_mib: int
    version: str = "1"
    first_token_s: float = 0.35
    token_gap_s: float = 0.044
    urgent: bool = True
    max_tokens: int = 4096
    min_replicas: int = 1
