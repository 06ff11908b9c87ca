"""Log of recent routing decisions for operators."""

from collections import OrderedDict, deque

__all__ = ["DecisionLog"]

MAX_KEYS = 500
MAX_LINES_PER_KEY = 16


class DecisionLog:
    """Bounded log of the last decisions on each request and each model or adapter."""

    def __init__(self) -> None:
        self._lines: OrderedDict[str, deque[str]] = OrderedDict()

    def record(self, request_id: str, name: str, now: float, text: str) -> None:
        """Record a decision. ``now`` is the monotonic time of the node in seconds."""
        for key, line in ((request_id, text), (name, f"{request_id}: {text}")):
            if key not in self._lines:
                self._lines[key] = deque(maxlen=MAX_LINES_PER_KEY)
            self._lines[key].append(f"{now:.3f} {line}")
            self._lines.move_to_end(key)
        while len(self._lines) > MAX_KEYS:
            self._lines.popitem(last=False)

    def lines(self, key: str) -> tuple[str, ...]:
        """Return the decisions on a request id, a model or an adapter, oldest first."""
        return tuple(self._lines.get(key, ()))
