"""Weighted power-of-two-choices selection of an upstream.

All nodes use the same stale reports, so always selecting the best estimate would send the requests
of all nodes to one upstream. Instead, two candidates are drawn at random, weighted by the inverse
square of their estimated time to first token, and the better one is selected. Without weights, a
slow upstream would be drawn as often as one that is ten times as fast.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..settings import Upstream

__all__ = ["Candidate", "EstimateInputs", "choose", "estimate_first_token_s", "filter_timely"]

SAME_DOMAIN_LATENCY_S = 0.0002
OTHER_DOMAIN_LATENCY_S = 0.001
# Lower bound of an estimate used as a weight, so that the weight of an idle upstream is finite.
MIN_ESTIMATE_S = 0.005


@dataclass(frozen=True)
class EstimateInputs:
    """Inputs of the estimated time to first token at one upstream."""

    upstream: Upstream
    in_flight: float
    prefill_backlog_tokens: float
    cached_tokens: float
    slowness: float
    same_domain: bool
    adapter_load_s: float
    mean_output_tokens: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """Upstream that can serve a request, with its estimated time to first token.

    ``slow`` is true if its token gap exceeds the target of the model.
    """

    upstream: str
    version: str
    load_adapter: bool
    estimate_s: float
    free_slots: float
    slow: bool = False


def estimate_first_token_s(prompt_tokens: int, inputs: EstimateInputs) -> float:
    """Return the expected time to the first token, in seconds.

    The wait for a slot in the batch is the time until enough streams end. Prefill covers the prompt
    tokens that are not cached and the prefill backlog of this node at the upstream.
    """
    upstream = inputs.upstream
    ahead = inputs.in_flight + 1 - upstream.max_batch
    wait_s = 0.0
    if ahead > 0:
        wait_s = ahead * inputs.mean_output_tokens / upstream.decode_tokens_per_s
    uncached_tokens = max(1.0, prompt_tokens - inputs.cached_tokens)
    prefill_s = (uncached_tokens + inputs.prefill_backlog_tokens) / upstream.prefill_tokens_per_s
    network_s = SAME_DOMAIN_LATENCY_S if inputs.same_domain else OTHER_DOMAIN_LATENCY_S
    return network_s + inputs.adapter_load_s + inputs.slowness * (wait_s + prefill_s)


def choose(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return the better of two candidates drawn by weight.

    ``candidates`` must not be empty.
    """
    if len(candidates) == 1:
        return candidates[0]
    weights = [1.0 / max(MIN_ESTIMATE_S, c.estimate_s) ** 2 for c in candidates]
    first, second = rng.choices(candidates, weights, k=2)
    return first if first.estimate_s <= second.estimate_s else second


def filter_timely(
    candidates: Sequence[Candidate], available: Sequence[Candidate], remaining_s: float
) -> list[Candidate]:
    """Return the available candidates whose first token is expected within the remaining time.

    All of them are returned if no candidate is expected in time. Without the filter, a
    request could join the queue of a small engine, where one position can cost more than the whole
    first-token target, while it costs little at a large engine.
    """
    if not any(candidate.estimate_s <= remaining_s for candidate in candidates):
        return list(available)
    return [candidate for candidate in available if candidate.estimate_s <= remaining_s]
