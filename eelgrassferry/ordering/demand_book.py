"""How much each model is asked for, over all nodes."""

__all__ = ["DemandBook"]

# Half-life of the arrival rate, in seconds. Demand moves from model to model within about 5 s at
# the present sites.
HALF_LIFE_S = 2.0
# A model that was not asked for within this time has no demand, in seconds.
ACTIVE_FOR_S = 10.0
DECAY = 0.6931471805599453 / HALF_LIFE_S


class DemandBook:
    """Arrival rates and work by service and model.

    >>> demand = DemandBook()
    >>> demand.note_arrivals("s", "m", 3, 0.3, now=0.0)
    >>> round(demand.rate("s", "m", now=0.0), 2)
    1.04
    """

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], tuple[float, float, float]] = {}
        self._last: dict[tuple[str, str], float] = {}

    def note_arrivals(
        self, service: str, model: str, count: float, work_s: float, now: float
    ) -> None:
        """Count requests for a model and the seconds of an engine that their prompts take."""
        rate, busy = self._current(service, model, now)
        self._rates[service, model] = (rate + count * DECAY, busy + work_s * DECAY, now)
        self._last[service, model] = now

    def rate(self, service: str, model: str, now: float) -> float:
        """Return requests a second."""
        return self._current(service, model, now)[0]

    def busy(self, service: str, model: str, now: float) -> float:
        """Return the engines that the prompts of a model keep busy."""
        return self._current(service, model, now)[1]

    def active(self, service: str, now: float) -> list[str]:
        """Return the models of a service that are asked for at all."""
        return [
            model
            for (name, model), at in self._last.items()
            if name == service and now - at < ACTIVE_FOR_S
        ]

    def last_asked(self, service: str, model: str) -> float:
        """Return when a model was last asked for, minus infinity for never."""
        return self._last.get((service, model), float("-inf"))

    def _current(self, service: str, model: str, now: float) -> tuple[float, float]:
        rate, busy, at = self._rates.get((service, model), (0.0, 0.0, now))
        faded = 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)
        return rate * faded, busy * faded
