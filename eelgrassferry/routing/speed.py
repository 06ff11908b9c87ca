"""How fast each upstream really is, compared with its settings."""

__all__ = ["SpeedBook"]

# Weight of one observation; about the last ten requests count.
WEIGHT = 0.1
# An upstream that was avoided for being slow is tried again as its factor falls back to 1.
HALF_LIFE_S = 20.0
MIN_FACTOR, MAX_FACTOR = 0.5, 20.0
# The time between tokens varies little, so a few observations are enough.
GAP_WEIGHT = 0.3


class SpeedBook:
    """A slowness factor for each upstream: observed over expected time to first token.

    Expected times are floored, so that jitter of a few milliseconds on a short request does not
    read as slowness.

    The time between tokens has a factor of its own, which does not fall back by itself: requests
    sent to find out would miss their target, so the scheduler sends single ones.
    """

    def __init__(self) -> None:
        self._gaps: dict[str, float] = {}
        self._factors: dict[str, tuple[float, float]] = {}

    def note(self, upstream: str, expected_s: float, observed_s: float, now: float) -> None:
        """Take one observed time to first token."""
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, observed_s / max(expected_s, 0.05)))
        factor = self.factor(upstream, now)
        self._factors[upstream] = (factor + WEIGHT * (ratio - factor), now)

    def factor(self, upstream: str, now: float) -> float:
        """Return the factor by which expected times are multiplied; 1 when nothing is known."""
        known = self._factors.get(upstream)
        if known is None:
            return 1.0
        factor, at = known
        return 1.0 + (factor - 1.0) * 0.5 ** ((now - at) / HALF_LIFE_S)

    def note_gap(self, upstream: str, expected_s: float, observed_s: float) -> None:
        """Take one observed time between tokens."""
        ratio = min(MAX_FACTOR, observed_s / expected_s)
        factor = self._gaps.get(upstream, 1.0)
        self._gaps[upstream] = factor + GAP_WEIGHT * (ratio - factor)

    def gap_factor(self, upstream: str) -> float:
        """Return observed over expected time between tokens."""
        return self._gaps.get(upstream, 1.0)

    def slowness(self, upstream: str, now: float) -> float:
        """Return how many times slower than its settings an upstream is."""
        return max(self.factor(upstream, now), self.gap_factor(upstream))

    def forget(self, upstream: str) -> None:
        """Drop what was observed of an upstream that is gone."""
        self._gaps.pop(upstream, None)
        self._factors.pop(upstream, None)
