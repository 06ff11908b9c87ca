"""The choice of an upstream among candidates.

Every node sees the same stale reports, so always taking the best estimate would send all nodes to
one upstream. Two candidates are drawn at random, weighted by the inverse square of their
estimated time to first token, and the better is taken. The weights keep a slow upstream from
being drawn as often as one ten times as fast.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..settings import Upstream

__all__ = ["Candidate", "Conditions", "choose", "estimate_first_token_s", "keep_timely"]

SAME_DOMAIN_S = 0.0002
OTHER_DOMAIN_S = 0.001
# Keeps the weight of an idle upstream finite.
MIN_ESTIMATE_S = 0.005


@dataclass(frozen=True)
class Conditions:
    """What the estimate of one upstream depends on."""

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
    """An upstream that could take the request, with its estimated time to first token.

    ``slow`` says that its tokens come further apart than the model's target allows.
    """

    upstream: str
    version: str
    load_adapter: bool
    estimate_s: float
    room: float
    slow: bool = False


def estimate_first_token_s(prompt_tokens: int, conditions: Conditions) -> float:
    """Return the expected time to the first token, in seconds.

    The wait for a place in the batch is the time in which enough streams end; prefill counts the
    tokens not cached and the prefill that this node already sent there.
    """
    upstream = conditions.upstream
    ahead = conditions.in_flight + 1 - upstream.max_batch
    wait_s = 0.0
    if ahead > 0:
        wait_s = ahead * conditions.mean_output_tokens / upstream.decode_tokens_per_s
    fresh = max(1.0, prompt_tokens - conditions.cached_tokens)
    prefill_s = (fresh + conditions.prefill_backlog_tokens) / upstream.prefill_tokens_per_s
    distance_s = SAME_DOMAIN_S if conditions.same_domain else OTHER_DOMAIN_S
    return distance_s + conditions.adapter_load_s + conditions.slowness * (wait_s + prefill_s)


def choose(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return the better of two candidates drawn by weight. There must be at least one."""
    if len(candidates) == 1:
        return candidates[0]
    weights = [1.0 / max(MIN_ESTIMATE_S, c.estimate_s) ** 2 for c in candidates]
    first, second = rng.choices(candidates, weights, k=2)
    return first if first.estimate_s <= second.estimate_s else second


def keep_timely(
    known: Sequence[Candidate], open_now: Sequence[Candidate], left_s: float
) -> list[Candidate]:
    """Leave out upstreams where the first token would be late, as far as there are others.

    One place in the queue of a small engine costs more than the whole target, while the same
    place at a large one costs little.
    """
    if not any(candidate.estimate_s <= left_s for candidate in known):
        return list(open_now)
    return [candidate for candidate in open_now if candidate.estimate_s <= left_s]
