"""The number of requests that may be in flight at one upstream."""

import math

__all__ = ["InflightLimit"]

# Part of the limit that patient requests may not use.
CLOSED_TO_PATIENT = 0.2
# Balances one increase of 1/limit per timely first token at about one late first token in twenty,
# the share that docs/design.md 1.5 allows, for limits around 16.
DECREASE = 0.95
# Time in which a limit below the batch closes most of the gap by itself.
RECOVER_S = 10.0
# Length of a queue at the engine itself, in batches, that a rising limit may build.
CEILING_BATCHES = 1.5


class InflightLimit:
    """Adapts to the time to first token: additive increase, multiplicative decrease.

    The limit applies to the estimated requests of all nodes. It grows only while it is nearly
    used, so that an idle period does not open it. Each late first token lowers it by a small step:
    one larger step per second let a few late ones hold the limit at a third of the batch.

    A limit below the batch rises with time as well. The limit applies to the requests of all
    nodes, so a node whose limit is lower than the peers' has no requests there, sees no first
    token, and would be kept out for as long as the peers keep the upstream busy.

    >>> limit = InflightLimit(start=16)
    >>> limit.note(took_s=1.0, target_s=0.35, in_flight=16, now=0.0)
    >>> limit.value
    15.2
    """

    def __init__(self, start: float) -> None:
        self.value = float(max(1, start))
        self._batch = float(max(1, start))
        self._at = 0.0
        self._ceiling = max(2.0, CEILING_BATCHES * start)

    def note(self, took_s: float, target_s: float, in_flight: float, now: float) -> None:
        """Take one time to first token against its target."""
        self._recover(now)
        if took_s > target_s:
            self.value = max(1.0, self.value * DECREASE)
        elif in_flight >= 0.75 * self.value:
            self.value = min(self._ceiling, self.value + 1.0 / self.value)

    def room(self, urgent: bool, in_flight: float, now: float) -> float:
        """Return how many more requests of the class fit; at most 0 when none does.

        Patient requests see a smaller limit, which never makes them wait in the engine's own queue
        in front of urgent ones, but always one of at least 1: an upstream without any request
        takes a patient one.
        """
        self._recover(now)
        if urgent:
            return int(self.value) - in_flight
        return max(1.0, int(min(self.value, self._batch) * (1.0 - CLOSED_TO_PATIENT))) - in_flight

    def _recover(self, now: float) -> None:
        if self.value < self._batch and now > self._at:
            gap = self._batch - self.value
            self.value = self._batch - gap * math.exp(-(now - self._at) / RECOVER_S)
        self._at = max(self._at, now)
