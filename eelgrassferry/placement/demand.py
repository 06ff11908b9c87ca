"""Demand for each model and adapter, smoothed over a fast and a slow horizon."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Demand", "DemandEstimator"]

FAST_HORIZON_S = 10.0
SLOW_HORIZON_S = 300.0
# Twenty slow horizons after the last request, a rate has decayed to less than a billionth.
FORGET_AFTER_S = 20 * SLOW_HORIZON_S
# Patient requests can wait until a burst is over, so their rate justifies fewer moves.
PATIENT_WEIGHT = 0.25
# Fraction of a burst above the slow rate that is expected to last. In simulated bursts of 45 s,
# 0.5 served five percentage points less of the upper bound, because loads started too late.
BURST_WEIGHT = 0.9


@dataclass(frozen=True)
class Demand:
    """Smoothed request rates per second. ``last_s`` is the time of the last request."""

    urgent_fast: float = 0.0
    urgent_slow: float = 0.0
    patient_fast: float = 0.0
    patient_slow: float = 0.0
    last_s: float = float("-inf")

    @property
    def expected(self) -> float:
        """Weighted rate that justifies loading another copy."""
        fast, slow = self._weighted()
        return slow + BURST_WEIGHT * max(0.0, fast - slow)

    @property
    def retained(self) -> float:
        """Weighted rate that justifies keeping a copy; at least ``expected``."""
        return max(self._weighted())

    def _weighted(self) -> tuple[float, float]:
        fast = self.urgent_fast + PATIENT_WEIGHT * self.patient_fast
        slow = self.urgent_slow + PATIENT_WEIGHT * self.patient_slow
        return fast, slow


class _Rates:
    """Exponentially smoothed rates of one name, decayed on access."""

    __slots__ = ("at_s", "last_s", "values")

    def __init__(self, now: float) -> None:
        self.values = [0.0, 0.0, 0.0, 0.0]
        self.at_s = now
        self.last_s = now

    def decay(self, now: float) -> None:
        elapsed_s = now - self.at_s
        if elapsed_s <= 0:
            return
        fast, slow = math.exp(-elapsed_s / FAST_HORIZON_S), math.exp(-elapsed_s / SLOW_HORIZON_S)
        values = self.values
        values[0] *= fast
        values[1] *= slow
        values[2] *= fast
        values[3] *= slow
        self.at_s = now


class DemandEstimator:
    """Estimator of the demand for each model and adapter.

    >>> estimator = DemandEstimator()
    >>> for second in range(100):
    ...     estimator.record("m1", True, float(second))
    >>> round(estimator.demand("m1", 99.0).urgent_fast)
    1
    """

    def __init__(self) -> None:
        self._rates: dict[str, _Rates] = {}

    def record(self, name: str, urgent: bool, now: float, count: float = 1.0) -> None:
        """Count requests for a model or adapter."""
        rates = self._rates.get(name)
        if rates is None:
            rates = self._rates[name] = _Rates(now)
        rates.decay(now)
        first = 0 if urgent else 2
        rates.values[first] += count / FAST_HORIZON_S
        rates.values[first + 1] += count / SLOW_HORIZON_S
        rates.last_s = max(rates.last_s, now)

    def demand(self, name: str, now: float) -> Demand:
        """Return the smoothed rates of a name at ``now``."""
        rates = self._rates.get(name)
        if rates is None:
            return Demand()
        rates.decay(now)
        return Demand(*rates.values, last_s=rates.last_s)

    def demands(self, now: float) -> Iterator[tuple[str, Demand]]:
        """Yield each name with its demand, and remove the names whose demand has decayed."""
        for name, rates in list(self._rates.items()):
            rates.decay(now)
            if now > rates.last_s + FORGET_AFTER_S:
                del self._rates[name]
            else:
                yield name, Demand(*rates.values, last_s=rates.last_s)

    def last_s(self, name: str) -> float:
        """Return the time of the last request for a name, or minus infinity."""
        rates = self._rates.get(name)
        return rates.last_s if rates else float("-inf")

    def keep_only(self, names: set[str]) -> None:
        """Remove all names that are not in ``names``."""
        for name in [n for n in self._rates if n not in names]:
            del self._rates[name]
