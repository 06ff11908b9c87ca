"""Recorded outcome of an order."""

from dataclasses import dataclass

__all__ = ["MAX_BODY_BYTES", "Outcome"]

# Larger bodies are omitted from the record, so that one shard can hold thousands of orders.
MAX_BODY_BYTES = 4096


@dataclass(frozen=True)
class Outcome:
    """Status, content type and body of the upstream's answer.

    ``body_omitted`` is True if the body was too large to record.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    body_omitted: bool = False

    def without_body(self) -> "Outcome":
        """Return a copy that has only the status."""
        return Outcome(self.status, b"", "", body_omitted=True)

    def limit_body(self) -> "Outcome":
        """Return the outcome, without its body if that exceeds ``MAX_BODY_BYTES``."""
        return self if len(self.body) <= MAX_BODY_BYTES else self.without_body()
