"""Recent decisions, kept for operators."""

from collections import OrderedDict, deque

__all__ = ["Explanations"]

MAX_REQUESTS = 500
MAX_LINES = 16


class Explanations:
    """The last decisions for each request and each model, bounded in number."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, deque[str]] = OrderedDict()

    def note(self, request_id: str, name: str, now: float, text: str) -> None:
        """Record one decision. ``now`` is the node's monotonic time."""
        for key, line in ((request_id, text), (name, f"{request_id}: {text}")):
            if key not in self._lines:
                self._lines[key] = deque(maxlen=MAX_LINES)
            self._lines[key].append(f"{now:.3f} {line}")
            self._lines.move_to_end(key)
        while len(self._lines) > MAX_REQUESTS:
            self._lines.popitem(last=False)

    def of(self, key: str) -> tuple[str, ...]:
        """Return the decisions about a request id, or about a model or adapter."""
        return tuple(self._lines.get(key, ()))
