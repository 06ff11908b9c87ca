"""The error of decoding something that the platform or an upstream sent."""

from dataclasses import dataclass

__all__ = ["CodecError"]


@dataclass(frozen=True)
class CodecError:
    """Bytes that do not fit their format."""

    step: str
    peer: str
    detail: str
