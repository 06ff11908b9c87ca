"""Recent status reports of an engine, for the delayed load report."""

from collections import deque
from typing import Any

__all__ = ["LoadHistory"]


class LoadHistory:
    """Status reports that are read with a delay of ``lag_s`` seconds.

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
        """Record the current status and drop reports that are no longer needed."""
        self._reports.append((now_s, report))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - self._lag_s:
            self._reports.popleft()

    def read(self, now_s: float) -> dict[str, Any]:
        """Return the newest report that is at least ``lag_s`` old, or else the oldest one.

        Return an empty dict if there is no report.
        """
        selected = self._reports[0][1] if self._reports else {}
        for at_s, report in self._reports:
            if at_s > now_s - self._lag_s:
                break
            selected = report
        return selected

    def clear(self) -> None:
        """Remove all reports."""
        self._reports.clear()
