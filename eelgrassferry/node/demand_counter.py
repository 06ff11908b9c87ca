"""Counts of requests by name between two reports to the lease holder."""

from collections import Counter

__all__ = ["DemandCounter"]


class DemandCounter:
    """Counts urgent and patient requests by model or adapter name.

    >>> counter = DemandCounter()
    >>> counter.record("m1", urgent=True)
    >>> counter.pop_counts(), counter.pop_counts()
    ({'m1': (1, 0)}, {})
    """

    def __init__(self) -> None:
        self._urgent: Counter[str] = Counter()
        self._patient: Counter[str] = Counter()

    def record(self, name: str, *, urgent: bool) -> None:
        """Count one request."""
        (self._urgent if urgent else self._patient)[name] += 1

    def pop_counts(self) -> dict[str, tuple[int, int]]:
        """Return the urgent and patient counts by name and reset them to zero."""
        names = self._urgent.keys() | self._patient.keys()
        demand = {name: (self._urgent[name], self._patient[name]) for name in sorted(names)}
        self._urgent.clear()
        self._patient.clear()
        return demand
