"""Observed slowness of each upstream relative to its settings."""

__all__ = ["SlownessEstimator"]

# Weight of one observation in the moving average, which covers about ten requests.
FIRST_TOKEN_WEIGHT = 0.1
# Half-life of the decay of a first-token factor to 1, after which an avoided slow upstream is used
# again.
HALF_LIFE_S = 20.0
MIN_FACTOR, MAX_FACTOR = 0.5, 20.0
# Token gaps vary little, so a few observations suffice.
TOKEN_GAP_WEIGHT = 0.3


class SlownessEstimator:
    """Estimator of the slowness factor of each upstream: observed over expected time.

    The expected time to first token has a lower bound, so that jitter of a few milliseconds on a
    short request does not count as slowness.

    The token gap has a separate factor that does not decay. Requests sent after a decay would miss
    their target at an upstream that is still slow, so the scheduler probes it with single requests.
    """

    def __init__(self) -> None:
        self._token_gap_factors: dict[str, float] = {}
        self._first_token_factors: dict[str, tuple[float, float]] = {}

    def record_first_token(
        self, upstream: str, expected_s: float, observed_s: float, now: float
    ) -> None:
        """Record an observed time to first token in seconds."""
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, observed_s / max(expected_s, 0.05)))
        factor = self.first_token_factor(upstream, now)
        self._first_token_factors[upstream] = (factor + FIRST_TOKEN_WEIGHT * (ratio - factor), now)

    def first_token_factor(self, upstream: str, now: float) -> float:
        """Return observed over expected time to first token; 1 without observations."""
        entry = self._first_token_factors.get(upstream)
        if entry is None:
            return 1.0
        factor, updated_at = entry
        return 1.0 + (factor - 1.0) * 0.5 ** ((now - updated_at) / HALF_LIFE_S)

    def record_token_gap(self, upstream: str, expected_s: float, observed_s: float) -> None:
        """Record an observed token gap in seconds."""
        ratio = min(MAX_FACTOR, observed_s / expected_s)
        factor = self._token_gap_factors.get(upstream, 1.0)
        self._token_gap_factors[upstream] = factor + TOKEN_GAP_WEIGHT * (ratio - factor)

    def token_gap_factor(self, upstream: str) -> float:
        """Return observed over expected token gap; 1 without observations."""
        return self._token_gap_factors.get(upstream, 1.0)

    def overall_factor(self, upstream: str, now: float) -> float:
        """Return the greater of the first-token factor and the token gap factor."""
        return max(self.first_token_factor(upstream, now), self.token_gap_factor(upstream))

    def remove_upstream(self, upstream: str) -> None:
        """Remove the observations of an upstream."""
        self._token_gap_factors.pop(upstream, None)
        self._first_token_factors.pop(upstream, None)
