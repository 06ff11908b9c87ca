"""The recorded outcome of an order."""

from dataclasses import dataclass

__all__ = ["MAX_BODY_BYTES", "Outcome"]

# Larger answers are recorded by their status alone, so that one shard holds thousands of orders.
MAX_BODY_BYTES = 4096


@dataclass(frozen=True)
class Outcome:
    """Status, content type and body of the upstream's answer.

    ``body_omitted`` is True where the body was too large to record.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    body_omitted: bool = False

    def without_body(self) -> "Outcome":
        """Return the outcome with its status alone."""
        return Outcome(self.status, b"", "", body_omitted=True)

    def fit(self) -> "Outcome":
        """Return the outcome as it is recorded."""
        return self if len(self.body) <= MAX_BODY_BYTES else self.without_body()
