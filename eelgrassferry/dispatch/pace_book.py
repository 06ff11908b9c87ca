"""How fast upstreams read prompts, learned from times to the first event."""

from math import exp, log

from .pace_factors import PaceFactors
from .pace_seen import PaceSeen

__all__ = ["PaceBook"]

# Prompt tokens per second assumed of an engine until the first observations.
START_TOKENS_PER_S = 44_000.0
# Time to a first event apart from the prompt: network, admission and the first step, in seconds.
BASE_S = 0.012
# Weight of one observation; about the last five count.
WEIGHT = 0.2
MIN_FACTOR, MAX_FACTOR = 0.1, 30.0
# One observation speaks for a pace that is at most this many times slower or faster, because a
# single time may also show a queue that was not known of.
MAX_RATIO = 8.0
# The factors of a model and of an upstream are learned from the same observations. Shorter
# expected times than this are mostly noise.
MIN_EXPECTED_S = 0.02


class PaceBook:
    """A slowness factor for each model and one for each upstream; 1 is the assumed rate.

    >>> pace = PaceBook()
    >>> pace.expected_s("u1", "m1", 44_000)
    1.012
    """

    def __init__(self) -> None:
        self._models: dict[str, float] = {}
        self._upstreams: dict[str, float] = {}

    @property
    def factors(self) -> PaceFactors:
        """All factors that are known."""
        return PaceFactors(dict(self._upstreams), dict(self._models))

    def factor(self, instance: str, model: str) -> float:
        """Return how many times slower than assumed an upstream reads prompts of a model."""
        return self._models.get(model, 1.0) * self._upstreams.get(instance, 1.0)

    def upstream_factor(self, instance: str) -> float:
        """Return how many times slower than assumed an upstream reads prompts of any model."""
        return self._upstreams.get(instance, 1.0)

    def expected_s(self, instance: str, model: str, prefill_tokens: float) -> float:
        """Return the time in which an upstream reads some prompt tokens of a model."""
        return BASE_S + prefill_tokens / START_TOKENS_PER_S * self.factor(instance, model)

    def observe(
        self, instance: str, model: str, factor: float, expected_s: float, observed_s: float
    ) -> PaceSeen | None:
        """Return what one time to the first event says, None where it says nothing. The estimate
        was made at sending, with ``factor``.
        """
        if expected_s - BASE_S < MIN_EXPECTED_S and observed_s < MIN_EXPECTED_S + BASE_S:
            return None
        ratio = observed_s / max(expected_s, MIN_EXPECTED_S)
        return PaceSeen(instance, model, factor * min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio)))

    def note(self, seen: PaceSeen) -> None:
        """Learn from one observation, of this node or of another."""
        error = log(seen.factor / self.factor(seen.instance, seen.model))
        step = exp(WEIGHT / 2.0 * error)
        for table, key in ((self._models, seen.model), (self._upstreams, seen.instance)):
            table[key] = min(MAX_FACTOR, max(MIN_FACTOR, table.get(key, 1.0) * step))

    def take(self, factors: PaceFactors) -> None:
        """Use factors that were learned from the observations of all nodes."""
        self._upstreams.update(factors.upstreams)
        self._models.update(factors.models)

    def forget(self, instance: str) -> None:
        """Drop what was learned about an upstream that is gone."""
        self._upstreams.pop(instance, None)
