"""Processor sharing: transfers that share a limited number of full-speed slots."""

__all__ = ["SharedRate"]


class SharedRate:
    """A rate that ``n`` concurrent transfers share, each at the speed ``min(1, slots / n)``.

    The work of a transfer is in seconds at full speed. Times are on a monotonic clock.

    >>> rate = SharedRate(1)
    >>> rate.add("a", 2.0, 0.0)
    >>> rate.add("b", 2.0, 1.0)
    >>> rate.next_end_s(), rate.pop_finished(3.0), rate.next_end_s()
    (3.0, ['a'], 4.0)
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        # Work done so far by a hypothetical transfer that started at time 0; a transfer ends when
        # this value reaches its end point.
        self._progress_s = 0.0
        self._end_points: dict[object, float] = {}
        self._updated_at_s = 0.0

    def __len__(self) -> int:
        return len(self._end_points)

    def add(self, key: object, work_s: float, now_s: float) -> None:
        """Start a transfer with ``work_s`` seconds of work."""
        self._advance(now_s)
        self._end_points[key] = self._progress_s + work_s

    def remove(self, key: object, now_s: float) -> None:
        """Remove a transfer before its end; do nothing if it has ended."""
        self._advance(now_s)
        self._end_points.pop(key, None)

    def next_end_s(self) -> float | None:
        """Return the time at which the next transfer ends if none is added or removed, or None."""
        if not self._end_points:
            return None
        remaining_s = max(0.0, min(self._end_points.values()) - self._progress_s)
        return self._updated_at_s + remaining_s / self._speed()

    def pop_finished(self, now_s: float) -> list[object]:
        """Remove the transfers that have ended, and return their keys."""
        self._advance(now_s)
        # The tolerance of 1e-9 s absorbs the rounding error of next_end_s.
        finished = [
            key for key, end_s in self._end_points.items() if end_s <= self._progress_s + 1e-9
        ]
        for key in finished:
            del self._end_points[key]
        return finished

    def _speed(self) -> float:
        return min(1.0, self._slots / max(1, len(self._end_points)))

    def _advance(self, now_s: float) -> None:
        self._progress_s += (now_s - self._updated_at_s) * self._speed()
        self._updated_at_s = now_s
