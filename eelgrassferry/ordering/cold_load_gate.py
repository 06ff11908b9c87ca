"""Keeps loads from the weight store within its agreed rate."""

import math
from bisect import bisect_left
from dataclasses import dataclass

from ..fleet import ServiceBounds

__all__ = ["ColdLoadGate"]

# Loads that may begin in a window beyond the rate (three by agreement); one is left for an order
# without an answer that is carried out late.
EXTRA_LOADS = 2
# An order without an answer begins its load within this time or never, in seconds: workers that
# leave orders unanswered carry them out up to 12 s later.
LATE_LOAD_S = 12.0


@dataclass
class _OpenLoad:
    """A load that was ordered and may begin, once the engine accepts its next order."""

    expected_count: int
    ordered_at: float
    unanswered: bool = False


class ColdLoadGate:
    """Counts loads that begin within the window. The window slides.

    A load begins at some time between its order and the answer, so it counts from its order until
    a window after its answer. One without an answer counts until the engine has accepted another
    order instead, has ended, or can begin it no longer. Loads that run at once share the store's
    speed, so that no more run than its rate needs.

    >>> gate = ColdLoadGate(ServiceBounds(), loads_per_s=1.4, load_s=1.2, now=0.0)
    >>> gate.allowed(0.0, under_way=1), gate.allowed(0.0, under_way=2)
    (True, False)
    """

    def __init__(
        self,
        bounds: ServiceBounds,
        loads_per_s: float,
        load_s: float,
        now: float,
        begun: tuple[float, ...] | None = (),
    ) -> None:
        self._at_once = max(1, math.ceil(loads_per_s * load_s))
        self._window_s = bounds.cold_load_window_s
        most = loads_per_s * bounds.cold_load_window_s * bounds.cold_load_factor + EXTRA_LOADS
        self._most = max(1, int(most))
        # Where it is not known what an earlier coordinator began, it may have used the window up.
        self._begun = [now] * self._most if begun is None else sorted(begun)
        self._dropped = 0
        self._open: dict[str, _OpenLoad] = {}

    def allowed(self, now: float, under_way: int) -> bool:
        """Whether a load may begin while some are under way."""
        for instance, open_load in list(self._open.items()):
            if open_load.unanswered and now - open_load.ordered_at > LATE_LOAD_S:
                self.note_gone(instance, now)
        over = bisect_left(self._begun, now - self._window_s)
        del self._begun[:over]
        self._dropped += over
        counted = len(self._begun) + len(self._open)
        return counted < self._most and under_way < self._at_once

    @property
    def open_loads(self) -> int:
        """The number of loads that were ordered and may begin yet."""
        return len(self._open)

    @property
    def begun_count(self) -> int:
        """The number of loads that have begun so far, those before the window included."""
        return self._dropped + len(self._begun)

    def begun_since(self, first: int, last: int) -> tuple[float, ...]:
        """Return the times of the loads in the window whose numbers are from ``first`` on and
        below ``last``, counted as ``begun_count`` does.
        """
        return tuple(self._begun[max(0, first - self._dropped) : max(0, last - self._dropped)])

    def note_ordered(self, instance: str, expected_count: int, now: float) -> None:
        """Count a load that is ordered of an engine which has accepted some orders before."""
        before = self._open.get(instance)
        if before is None:
            self._open[instance] = _OpenLoad(expected_count, now)
        elif before.expected_count != expected_count:
            # An engine accepts only one order for a count, so that only another count adds a load.
            self._begun.append(now)
            self._open[instance] = _OpenLoad(expected_count, now)

    def note_unanswered(self, instance: str) -> None:
        """Take that an order had no answer."""
        if instance in self._open:
            self._open[instance].unanswered = True

    def note_refused(self, instance: str) -> None:
        """Take that an engine has refused an order: no load begins, unless the same order had no
        answer before.
        """
        open_load = self._open.get(instance)
        if open_load is not None and not open_load.unanswered:
            del self._open[instance]

    def note_count(self, instance: str, accepted_orders: int, now: float) -> None:
        """Take how many orders an engine has accepted. A load that it has accepted, or can accept
        no longer, began by now.
        """
        open_load = self._open.get(instance)
        if open_load is not None and accepted_orders > open_load.expected_count:
            self.note_gone(instance, now)

    def note_gone(self, instance: str, now: float) -> None:
        """Take that an engine has ended. A load there began by now."""
        if self._open.pop(instance, None) is not None:
            self._begun.append(now)
