"""A caller's request with its whole body, as received."""

from dataclasses import dataclass

__all__ = ["CallerRequest"]


@dataclass(frozen=True)
class CallerRequest:
    """A request as received; header names keep their original case."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.decode("latin-1").partition("?")[0]
