"""Demand for each model, summed over all nodes."""

__all__ = ["DemandEstimator"]

# Half-life of the estimates, in seconds. Demand shifts from one model to another within
# about 5 s at the present sites.
HALF_LIFE_S = 2.0
# A model without an arrival for this long counts as having no demand, in seconds.
ACTIVE_WINDOW_S = 10.0
DECAY_PER_S = 0.6931471805599453 / HALF_LIFE_S


class DemandEstimator:
    """Estimates the arrival rate and the offered load of each model with exponential decay.

    >>> demand = DemandEstimator()
    >>> demand.record_arrivals("s", "m", 3, 0.3, now=0.0)
    >>> round(demand.rate("s", "m", now=0.0), 2)
    1.04
    """

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], tuple[float, float, float]] = {}
        self._last_arrivals: dict[tuple[str, str], float] = {}

    def record_arrivals(
        self, service: str, model: str, count: float, work_s: float, now: float
    ) -> None:
        """Record ``count`` requests whose prompts take ``work_s`` s of engine time in total."""
        rate, offered_load = self._current(service, model, now)
        self._rates[service, model] = (
            rate + count * DECAY_PER_S,
            offered_load + work_s * DECAY_PER_S,
            now,
        )
        self._last_arrivals[service, model] = now

    def rate(self, service: str, model: str, now: float) -> float:
        """Return the arrival rate in requests per second."""
        return self._current(service, model, now)[0]

    def offered_load(self, service: str, model: str, now: float) -> float:
        """Return the number of engines that the prompts of a model keep fully busy."""
        return self._current(service, model, now)[1]

    def active_models(self, service: str, now: float) -> list[str]:
        """Return the models of a service with a recent arrival."""
        return [
            model
            for (name, model), at in self._last_arrivals.items()
            if name == service and now - at < ACTIVE_WINDOW_S
        ]

    def last_arrival(self, service: str, model: str) -> float:
        """Return the time of the last arrival for a model, minus infinity if there was none."""
        return self._last_arrivals.get((service, model), float("-inf"))

    def _current(self, service: str, model: str, now: float) -> tuple[float, float]:
        rate, offered_load, at = self._rates.get((service, model), (0.0, 0.0, now))
        decay = 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)
        return rate * decay, offered_load * decay
