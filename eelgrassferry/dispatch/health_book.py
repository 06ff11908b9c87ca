"""How reliable each upstream has been, from what its answers showed."""

__all__ = ["HealthBook"]

# Weight of one outcome; about the last seven count.
WEIGHT = 0.15
# Failures fade with this half-life, so that an upstream that was avoided is tried again.
HALF_LIFE_S = 3.0
# Time that a certain failure is taken to cost a request, in seconds.
FAILURE_COST_S = 1.5


class HealthBook:
    """A failure rate for each upstream.

    >>> health = HealthBook()
    >>> health.note("u1", failed=True, now=0.0)
    >>> round(health.penalty_s("u1", now=0.0), 3)
    0.225
    """

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def note(self, instance: str, failed: bool, now: float) -> None:
        """Take the outcome of one request."""
        rate = self.rate(instance, now)
        if failed or rate > 0.001:
            self._rates[instance] = (rate + WEIGHT * (float(failed) - rate), now)

    def rate(self, instance: str, now: float) -> float:
        """Return the expected share of failures, between 0 and 1."""
        rate, at = self._rates.get(instance, (0.0, now))
        return rate * 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)

    def penalty_s(self, instance: str, now: float) -> float:
        """Return the time to add to an upstream's estimate."""
        return FAILURE_COST_S * self.rate(instance, now)

    def forget(self, instance: str) -> None:
        """Drop what is known about an upstream that is gone or restarted."""
        self._rates.pop(instance, None)
