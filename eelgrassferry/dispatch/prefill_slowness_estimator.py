"""Prefill slowness of models and upstreams, estimated from times to the first event."""

from math import exp, log

from .slowness_factors import SlownessFactors
from .slowness_sample import SlownessSample

__all__ = ["PrefillSlownessEstimator"]

# Prefill rate of an engine with a slowness factor of 1, in prompt tokens per second.
ASSUMED_TOKENS_PER_S = 44_000.0
# Part of the time to the first event that does not depend on the prompt, in seconds: network,
# admission and the first decode step.
FIRST_EVENT_OVERHEAD_S = 0.012
# Weight of one sample in the moving average, which spans about five samples.
WEIGHT = 0.2
MIN_FACTOR, MAX_FACTOR = 0.1, 30.0
# Limit of the change that one sample can indicate, as a ratio in both directions. A single long
# time may also be caused by a queue that this node has no information about.
MAX_SAMPLE_RATIO = 8.0
# Expected times below this limit, in seconds, are dominated by noise.
MIN_EXPECTED_S = 0.02


class PrefillSlownessEstimator:
    """Estimator of a slowness factor for each model and each upstream.

    The slowness of a model at an upstream is the product of the two factors. A factor of 1 is the
    assumed prefill rate; larger ones are slower.

    >>> slowness = PrefillSlownessEstimator()
    >>> slowness.expected_s("u1", "m1", 44_000)
    1.012
    """

    def __init__(self) -> None:
        self._models: dict[str, float] = {}
        self._upstreams: dict[str, float] = {}

    @property
    def factors(self) -> SlownessFactors:
        """Factors of all models and upstreams that have samples."""
        return SlownessFactors(dict(self._upstreams), dict(self._models))

    def factor(self, instance: str, model: str) -> float:
        """Return the slowness factor of an upstream for prompts of a model."""
        return self._models.get(model, 1.0) * self._upstreams.get(instance, 1.0)

    def upstream_factor(self, instance: str) -> float:
        """Return the slowness factor of an upstream, independent of the model."""
        return self._upstreams.get(instance, 1.0)

    def expected_s(self, instance: str, model: str, prefill_tokens: float) -> float:
        """Return the expected time to the first event after prefilling some tokens, in seconds."""
        return FIRST_EVENT_OVERHEAD_S + prefill_tokens / ASSUMED_TOKENS_PER_S * self.factor(
            instance, model
        )

    def observe(
        self, instance: str, model: str, factor: float, expected_s: float, observed_s: float
    ) -> SlownessSample | None:
        """Return the slowness sample of one time to the first event, None if it is only noise.

        ``expected_s`` is the estimate made when the request was sent, and ``factor`` the slowness
        factor used for it. The times are in seconds.
        """
        if (
            expected_s - FIRST_EVENT_OVERHEAD_S < MIN_EXPECTED_S
            and observed_s < MIN_EXPECTED_S + FIRST_EVENT_OVERHEAD_S
        ):
            return None
        ratio = observed_s / max(expected_s, MIN_EXPECTED_S)
        return SlownessSample(
            instance, model, factor * min(MAX_SAMPLE_RATIO, max(1.0 / MAX_SAMPLE_RATIO, ratio))
        )

    def record(self, sample: SlownessSample) -> None:
        """Update the factors from one sample, of this node or of another.

        The factors of the model and of the upstream each take half of the change, because every
        sample updates both.
        """
        error = log(sample.factor / self.factor(sample.instance, sample.model))
        step = exp(WEIGHT / 2.0 * error)
        for factors, key in ((self._models, sample.model), (self._upstreams, sample.instance)):
            factors[key] = min(MAX_FACTOR, max(MIN_FACTOR, factors.get(key, 1.0) * step))

    def update(self, factors: SlownessFactors) -> None:
        """Replace the given factors by the coordinator's estimates from samples of all nodes."""
        self._upstreams.update(factors.upstreams)
        self._models.update(factors.models)

    def forget(self, instance: str) -> None:
        """Remove the factor of an upstream that has stopped or restarted."""
        self._upstreams.pop(instance, None)
