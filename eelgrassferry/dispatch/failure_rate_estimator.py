"""Failure rate of each upstream, estimated from the outcomes of requests."""

__all__ = ["FailureRateEstimator"]

# Weight of one outcome in the moving average, which spans about seven outcomes.
WEIGHT = 0.15
# Half-life of a failure rate. The decay lets an upstream that was avoided receive requests again.
HALF_LIFE_S = 3.0
# Cost of a certain failure, as a delay of the request in seconds.
FAILURE_COST_S = 1.5


class FailureRateEstimator:
    """Exponential moving average of the failures of each upstream.

    >>> failure_rates = FailureRateEstimator()
    >>> failure_rates.record("u1", failed=True, now=0.0)
    >>> round(failure_rates.penalty_s("u1", now=0.0), 3)
    0.225
    """

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def record(self, instance: str, failed: bool, now: float) -> None:
        """Add the outcome of one request."""
        rate = self.failure_rate(instance, now)
        if failed or rate > 0.001:
            self._rates[instance] = (rate + WEIGHT * (float(failed) - rate), now)

    def failure_rate(self, instance: str, now: float) -> float:
        """Return the failure rate of an upstream, between 0 and 1."""
        rate, updated_at = self._rates.get(instance, (0.0, now))
        return rate * 0.5 ** (max(0.0, now - updated_at) / HALF_LIFE_S)

    def penalty_s(self, instance: str, now: float) -> float:
        """Return the cost of the expected failures of an upstream, in seconds."""
        return FAILURE_COST_S * self.failure_rate(instance, now)

    def forget(self, instance: str) -> None:
        """Remove the failure rate of an upstream that has stopped or restarted."""
        self._rates.pop(instance, None)
