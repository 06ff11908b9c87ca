"""Adaptive limit of the requests in flight at one upstream."""

import math

__all__ = ["InflightLimit"]

# Share of the limit that is reserved for urgent requests.
URGENT_ONLY_SHARE = 0.2
# For limits around 16, a decrease per late first token balances an increase of 1/limit per timely
# one at about one late first token in twenty, the share allowed by docs/design.md 1.5.
DECREASE_FACTOR = 0.95
# Time constant in seconds of the recovery of a limit below the batch size without first tokens.
RECOVERY_TIME_S = 10.0
# Maximum of the limit in batches, which bounds the queue at the engine itself.
MAX_LIMIT_BATCHES = 1.5


class InflightLimit:
    """Additive-increase, multiplicative-decrease limit driven by the time to first token.

    The limit applies to the estimated requests of all nodes. It increases only while it is nearly
    used, so that it does not grow in idle periods. Each late first token decreases it by a small
    step. With one larger step per second, a few late first tokens held the limit at a third of the
    batch size.

    A limit below the batch size also recovers with time. Because it applies to the requests of all
    nodes, a node with a lower limit than its peers has no requests at the upstream and observes no
    first token there, so it would be excluded for as long as the peers use the upstream.

    >>> limit = InflightLimit(start=16)
    >>> limit.record_first_token(took_s=1.0, target_s=0.35, in_flight=16, now=0.0)
    >>> limit.value
    15.2
    """

    def __init__(self, start: float) -> None:
        self.value = float(max(1, start))
        self._batch = float(max(1, start))
        self._updated_at = 0.0
        self._max_value = max(2.0, MAX_LIMIT_BATCHES * start)

    def record_first_token(
        self, took_s: float, target_s: float, in_flight: float, now: float
    ) -> None:
        """Adapt the limit to one time to first token and its target, both in seconds."""
        self._recover(now)
        if took_s > target_s:
            self.value = max(1.0, self.value * DECREASE_FACTOR)
        elif in_flight >= 0.75 * self.value:
            self.value = min(self._max_value, self.value + 1.0 / self.value)

    def free_slots(self, urgent: bool, in_flight: float, now: float) -> float:
        """Return the number of further requests of a class that fit; 0 or less if none does.

        Patient requests have a smaller limit, bounded by the batch size, so that they do not queue
        at the engine ahead of urgent ones. It is at least 1, so an upstream without requests
        accepts a patient one.
        """
        self._recover(now)
        if urgent:
            return int(self.value) - in_flight
        return max(1.0, int(min(self.value, self._batch) * (1.0 - URGENT_ONLY_SHARE))) - in_flight

    def _recover(self, now: float) -> None:
        if self.value < self._batch and now > self._updated_at:
            gap = self._batch - self.value
            self.value = self._batch - gap * math.exp(-(now - self._updated_at) / RECOVERY_TIME_S)
        self._updated_at = max(self._updated_at, now)
