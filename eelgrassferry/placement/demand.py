"""Demand of each model and adapter, smoothed over a fast and a slow horizon."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Demand", "DemandEstimator"]

FAST_S = 10.0
SLOW_S = 300.0
# Twenty slow horizons after its last request, a rate has become less than a billionth.
FORGET_S = 20 * SLOW_S
# Patient requests may wait until a burst is over, so a rate of theirs is worth less of a move.
PATIENT_WEIGHT = 0.25
# Share of a burst above the slow rate that is taken to last.
BURST_WEIGHT = 0.5


@dataclass(frozen=True)
class Demand:
    """Request rates per second. ``last_s`` is the time of the last request."""

    urgent_fast: float = 0.0
    urgent_slow: float = 0.0
    patient_fast: float = 0.0
    patient_slow: float = 0.0
    last_s: float = float("-inf")

    @property
    def expected(self) -> float:
        """The weighted rate for which a load would be made."""
        fast, slow = self._weighted()
        return slow + BURST_WEIGHT * max(0.0, fast - slow)

    @property
    def kept(self) -> float:
        """The weighted rate for which a copy is kept; at least ``expected``."""
        return max(self._weighted())

    def _weighted(self) -> tuple[float, float]:
        fast = self.urgent_fast + PATIENT_WEIGHT * self.patient_fast
        slow = self.urgent_slow + PATIENT_WEIGHT * self.patient_slow
        return fast, slow


class _Rates:
    """Exponentially smoothed rates of one name, decayed when they are looked at."""

    __slots__ = ("at_s", "last_s", "values")

    def __init__(self, now: float) -> None:
        self.values = [0.0, 0.0, 0.0, 0.0]
        self.at_s = now
        self.last_s = now

    def decay(self, now: float) -> None:
        elapsed_s = now - self.at_s
        if elapsed_s <= 0:
            return
        fast, slow = math.exp(-elapsed_s / FAST_S), math.exp(-elapsed_s / SLOW_S)
        values = self.values
        values[0] *= fast
        values[1] *= slow
        values[2] *= fast
        values[3] *= slow
        self.at_s = now


class DemandEstimator:
    """Counts requests per name.

    >>> estimator = DemandEstimator()
    >>> for second in range(100):
    ...     estimator.note("m1", True, float(second))
    >>> round(estimator.demand("m1", 99.0).urgent_fast)
    1
    """

    def __init__(self) -> None:
        self._rates: dict[str, _Rates] = {}

    def note(self, name: str, urgent: bool, now: float, count: float = 1.0) -> None:
        """Count requests for a model or adapter."""
        rates = self._rates.get(name)
        if rates is None:
            rates = self._rates[name] = _Rates(now)
        rates.decay(now)
        first = 0 if urgent else 2
        rates.values[first] += count / FAST_S
        rates.values[first + 1] += count / SLOW_S
        rates.last_s = max(rates.last_s, now)

    def demand(self, name: str, now: float) -> Demand:
        """Return the smoothed rates of a name at ``now``."""
        rates = self._rates.get(name)
        if rates is None:
            return Demand()
        rates.decay(now)
        return Demand(*rates.values, last_s=rates.last_s)

    def demands(self, now: float) -> Iterator[tuple[str, Demand]]:
        """Yield the names that have demand, and forget those that have none any more."""
        for name, rates in list(self._rates.items()):
            rates.decay(now)
            if now > rates.last_s + FORGET_S:
                del self._rates[name]
            else:
                yield name, Demand(*rates.values, last_s=rates.last_s)

    def last_s(self, name: str) -> float:
        """Return the time of the last request for a name."""
        rates = self._rates.get(name)
        return rates.last_s if rates else float("-inf")

    def keep_only(self, names: set[str]) -> None:
        """Forget names that are no longer in the deployment."""
        for name in [n for n in self._rates if n not in names]:
            del self._rates[name]
