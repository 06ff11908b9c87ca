"""Error for data that cannot be decoded."""

from dataclasses import dataclass

__all__ = ["CodecError"]


@dataclass(frozen=True)
class CodecError:
    """Data from the platform, a caller or an upstream that does not match its format.

    ``step`` is the decoder, ``peer`` the upstream instance or request id that the data belongs to
    (empty if unknown), and ``detail`` the reason.
    """

    step: str
    peer: str
    detail: str
