"""Rate limit for loads from the weight store."""

import math
from bisect import bisect_left
from dataclasses import dataclass

from ..fleet import ServiceBounds

__all__ = ["ColdLoadLimiter"]

# Loads that may begin in a window beyond the rate. The agreement allows three; one is reserved for
# an unanswered order that an engine executes late.
EXTRA_LOADS = 2
# An unanswered order starts its load within this time or never, in seconds: engines execute orders
# that they left unanswered up to 12 s later.
LATE_LOAD_S = 12.0


@dataclass
class _PendingLoad:
    """An ordered load that begins if the engine accepts the order as its next one."""

    expected_count: int
    ordered_at: float
    unanswered: bool = False


class ColdLoadLimiter:
    """Limits the loads that begin within a sliding window, and those that run concurrently.

    A load begins at an unknown time between its order and the answer, so it counts from the order
    until one window after the answer. A load whose order has no answer is pending until the engine
    accepts another order, ends, or can no longer begin the load. Concurrent loads share the
    bandwidth of the store, so no more of them run than are needed to reach its rate.

    ``begin_times`` are the times at which earlier loads began, None if these are not known.

    >>> limiter = ColdLoadLimiter(ServiceBounds(), loads_per_s=1.4, load_s=1.2, now=0.0)
    >>> limiter.allowed(0.0, loads_in_progress=1), limiter.allowed(0.0, loads_in_progress=2)
    (True, False)
    """

    def __init__(
        self,
        bounds: ServiceBounds,
        loads_per_s: float,
        load_s: float,
        now: float,
        begin_times: tuple[float, ...] | None = (),
    ) -> None:
        self._max_concurrent = max(1, math.ceil(loads_per_s * load_s))
        self._window_s = bounds.cold_load_window_s
        max_loads = loads_per_s * bounds.cold_load_window_s * bounds.cold_load_factor + EXTRA_LOADS
        self._max_in_window = max(1, int(max_loads))
        # An earlier coordinator whose loads are not known may have used up the window.
        self._begin_times = (
            [now] * self._max_in_window if begin_times is None else sorted(begin_times)
        )
        self._expired_count = 0
        self._pending: dict[str, _PendingLoad] = {}

    def allowed(self, now: float, loads_in_progress: int) -> bool:
        """Return whether another load may begin while ``loads_in_progress`` loads run."""
        for instance, pending_load in list(self._pending.items()):
            if pending_load.unanswered and now - pending_load.ordered_at > LATE_LOAD_S:
                self.confirm_load(instance, now)
        expired = bisect_left(self._begin_times, now - self._window_s)
        del self._begin_times[:expired]
        self._expired_count += expired
        counted = len(self._begin_times) + len(self._pending)
        return counted < self._max_in_window and loads_in_progress < self._max_concurrent

    @property
    def pending_loads(self) -> int:
        """Number of ordered loads that may still begin."""
        return len(self._pending)

    @property
    def begun_count(self) -> int:
        """Number of loads that have begun so far, including those before the window."""
        return self._expired_count + len(self._begin_times)

    def begin_times_between(self, first: int, last: int) -> tuple[float, ...]:
        """Return the begin times of the loads ``first`` up to but not including ``last``.

        Loads are numbered from 0 in the order of ``begun_count``; those before the window are left
        out.
        """
        return tuple(
            self._begin_times[
                max(0, first - self._expired_count) : max(0, last - self._expired_count)
            ]
        )

    def record_order(self, instance: str, expected_count: int, now: float) -> None:
        """Record the order of a load at an engine that has accepted ``expected_count`` orders."""
        previous = self._pending.get(instance)
        if previous is None:
            self._pending[instance] = _PendingLoad(expected_count, now)
        elif previous.expected_count != expected_count:
            # An engine accepts one order for each count, so only a different count adds a load.
            self._begin_times.append(now)
            self._pending[instance] = _PendingLoad(expected_count, now)

    def on_no_answer(self, instance: str) -> None:
        """Mark the pending load of an engine, if any, as unanswered."""
        if instance in self._pending:
            self._pending[instance].unanswered = True

    def on_refused(self, instance: str) -> None:
        """Remove the pending load of an engine that refused the order.

        The load stays pending if an earlier attempt of the same order had no answer, because that
        attempt may still be executed.
        """
        pending_load = self._pending.get(instance)
        if pending_load is not None and not pending_load.unanswered:
            del self._pending[instance]

    def update_accepted_orders(self, instance: str, accepted_orders: int, now: float) -> None:
        """Confirm the pending load of an engine once the engine has accepted an order since.

        The engine has then either accepted the load or can no longer accept it, so the load counts
        as begun at ``now`` at the latest.
        """
        pending_load = self._pending.get(instance)
        if pending_load is not None and accepted_orders > pending_load.expected_count:
            self.confirm_load(instance, now)

    def confirm_load(self, instance: str, now: float) -> None:
        """Count the pending load of an engine, if any, as begun at ``now``.

        Also called when the engine ends, because the load can begin no later.
        """
        if self._pending.pop(instance, None) is not None:
            self._begin_times.append(now)
