"""Engine status as it was some time ago."""

from collections import deque
from typing import Any

__all__ = ["LoadHistory"]


class LoadHistory:
    """Keeps status reports for a lag.

    >>> history = LoadHistory(1.0)
    >>> history.add({"queued": 0}, 10.0)
    >>> history.add({"queued": 5}, 10.5)
    >>> history.read(11.2)
    {'queued': 0}
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()

    def add(self, report: dict[str, Any], now_s: float) -> None:
        """Record the present status."""
        self._reports.append((now_s, report))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - self._lag_s:
            self._reports.popleft()

    def read(self, now_s: float) -> dict[str, Any]:
        """Return the newest report that is at least the lag old, or else the oldest one."""
        shown = self._reports[0][1] if self._reports else {}
        for at_s, report in self._reports:
            if at_s > now_s - self._lag_s:
                break
            shown = report
        return shown

    def clear(self) -> None:
        """Forget all reports."""
        self._reports.clear()
