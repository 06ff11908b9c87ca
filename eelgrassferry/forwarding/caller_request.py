"""A caller's request with its whole body, as received."""

from dataclasses import dataclass

__all__ = ["CallerRequest"]


@dataclass(frozen=True)
class CallerRequest:
    """Header names keep the case in which they came."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.decode("latin-1").partition("?")[0]
