"""How much each model is asked for, over all nodes."""

__all__ = ["DemandBook"]

# Half-life of the arrival rate, in seconds. Demand moves from model to model within about 5 s at
# the present sites.
HALF_LIFE_S = 3.0
DECAY = 0.6931471805599453 / HALF_LIFE_S


class DemandBook:
    """Arrival rates and waiting requests by service and model.

    >>> demand = DemandBook()
    >>> demand.note_arrivals("s", "m", 3, now=0.0)
    >>> round(demand.rate("s", "m", now=0.0), 2)
    0.69
    """

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], tuple[float, float]] = {}
        self._last: dict[tuple[str, str], float] = {}

    def note_arrivals(self, service: str, model: str, count: float, now: float) -> None:
        """Count requests for a model."""
        key = (service, model)
        self._rates[key] = (self.rate(service, model, now) + count * DECAY, now)
        self._last[key] = now

    def rate(self, service: str, model: str, now: float) -> float:
        """Return requests a second."""
        rate, at = self._rates.get((service, model), (0.0, now))
        return rate * 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)

    def last_asked(self, service: str, model: str) -> float:
        """Return when a model was last asked for, minus infinity for never."""
        return self._last.get((service, model), float("-inf"))
