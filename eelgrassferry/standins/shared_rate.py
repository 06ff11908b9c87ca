"""A number of slots at full speed that more transfers share."""

__all__ = ["SharedRate"]


class SharedRate:
    """Gives each of ``n`` transfers the speed ``min(1, slots / n)``.

    Work is in seconds at full speed, times are on a monotonic clock.

    >>> rate = SharedRate(1)
    >>> rate.add("a", 2.0, 0.0)
    >>> rate.add("b", 2.0, 1.0)
    >>> rate.due_at(), rate.take_finished(3.0), rate.due_at()
    (3.0, ['a'], 4.0)
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        # Work that a transfer present all the time would have done, and that at each one's end.
        self._progress_s = 0.0
        self._ends: dict[object, float] = {}
        self._now_s = 0.0

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, key: object, work_s: float, now_s: float) -> None:
        """Start a transfer."""
        self._advance(now_s)
        self._ends[key] = self._progress_s + work_s

    def remove(self, key: object, now_s: float) -> None:
        """Give up a transfer; one that has ended is ignored."""
        self._advance(now_s)
        self._ends.pop(key, None)

    def due_at(self) -> float | None:
        """Return when the next transfer ends if none joins or leaves, or None without one."""
        if not self._ends:
            return None
        left_s = max(0.0, min(self._ends.values()) - self._progress_s)
        return self._now_s + left_s / self._speed()

    def take_finished(self, now_s: float) -> list[object]:
        """Return and forget the transfers that have ended."""
        self._advance(now_s)
        # A billionth of a second absorbs the rounding of due_at.
        done = [key for key, end_s in self._ends.items() if end_s <= self._progress_s + 1e-9]
        for key in done:
            del self._ends[key]
        return done

    def _speed(self) -> float:
        return min(1.0, self._slots / max(1, len(self._ends)))

    def _advance(self, now_s: float) -> None:
        self._progress_s += (now_s - self._now_s) * self._speed()
        self._now_s = now_s
