"""How fast upstreams read prompts, learned from times to the first event."""

__all__ = ["PaceBook"]

# Prompt tokens per second assumed of an engine until the first observations.
START_TOKENS_PER_S = 44_000.0
# Time to a first event apart from the prompt: network, admission and the first step, in seconds.
BASE_S = 0.012
# Weight of one observation; about the last five count.
WEIGHT = 0.2
MIN_FACTOR, MAX_FACTOR = 0.1, 30.0
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

    def expected_s(self, instance: str, model: str, prefill_tokens: float) -> float:
        """Return the time in which an upstream reads some prompt tokens of a model."""
        factor = self._models.get(model, 1.0) * self._upstreams.get(instance, 1.0)
        return BASE_S + prefill_tokens / START_TOKENS_PER_S * factor

    def note(self, instance: str, model: str, expected_s: float, observed_s: float) -> None:
        """Take one time to the first event against the estimate at sending."""
        if expected_s - BASE_S < MIN_EXPECTED_S and observed_s < MIN_EXPECTED_S + BASE_S:
            return
        ratio = min(8.0, max(0.125, observed_s / max(expected_s, MIN_EXPECTED_S)))
        for table, key in ((self._models, model), (self._upstreams, instance)):
            factor = table.get(key, 1.0) * ratio ** (WEIGHT / 2.0)
            table[key] = min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def forget(self, instance: str) -> None:
        """Drop what was learned about an upstream that is gone."""
        self._upstreams.pop(instance, None)
