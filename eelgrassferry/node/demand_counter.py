"""Counts requests by name between two notices to the lease holder."""

from collections import Counter

__all__ = ["DemandCounter"]


class DemandCounter:
    """Urgent and patient requests by model or adapter name.

    >>> counter = DemandCounter()
    >>> counter.note("m1", urgent=True)
    >>> counter.take(), counter.take()
    ({'m1': (1, 0)}, {})
    """

    def __init__(self) -> None:
        self._urgent: Counter[str] = Counter()
        self._patient: Counter[str] = Counter()

    def note(self, name: str, *, urgent: bool) -> None:
        """Count one request."""
        (self._urgent if urgent else self._patient)[name] += 1

    def take(self) -> dict[str, tuple[int, int]]:
        """Return the counts and start again from zero."""
        names = self._urgent.keys() | self._patient.keys()
        demand = {name: (self._urgent[name], self._patient[name]) for name in sorted(names)}
        self._urgent.clear()
        self._patient.clear()
        return demand
