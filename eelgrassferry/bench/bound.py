"""An upper bound of the attainment, computed from a trace.

All engines are relaxed to one pooled machine on which every model is resident. Placement, loads,
network delays and prefill cost nothing, and work can be split and preempted at any point. Requests
are served by earliest completion deadline first. Whenever the pending requests can't all meet
their deadlines, the one with the most remaining work is dropped, which maximises the number served
in time as of that moment.
"""

from bisect import insort
from collections import Counter
from collections.abc import Callable, Sequence

from .result_counter import MAX_GAP_S
from .trace import Arrival

__all__ = ["count_attainable"]

TIME_STEP_S = 0.1
PATIENT_GAP_S = 1.0


class _Pending:
    __slots__ = ("deadline", "left", "urgent")

    def __init__(self, arrival: Arrival) -> None:
        # Patient requests have no target between tokens, so they get a generous gap.
        gap_s = MAX_GAP_S if arrival.urgent else PATIENT_GAP_S
        self.deadline = arrival.first_token_by + gap_s * arrival.output_tokens
        self.left = float(arrival.output_tokens)
        self.urgent = arrival.urgent


def count_attainable(
    arrivals: Sequence[Arrival], speed_at: Callable[[float], float], until: float
) -> Counter[bool]:
    """Return the number of urgent (True) and patient (False) requests servable within target.

    ``speed_at`` returns the total decode speed of the reachable engines at a time, in tokens/s.
    """
    served: Counter[bool] = Counter()
    pending: list[_Pending] = []
    index = 0
    step = 0
    while (now := step * TIME_STEP_S) < until:
        speed = speed_at(now)
        arrived = False
        while index < len(arrivals) and arrivals[index].at < now + TIME_STEP_S:
            insort(pending, _Pending(arrivals[index]), key=lambda item: item.deadline)
            index += 1
            arrived = True
        if arrived:
            _drop_excess(pending, speed, now)
        capacity = speed * TIME_STEP_S
        while pending and capacity > 0:
            work = min(capacity, pending[0].left)
            capacity -= work
            pending[0].left -= work
            if pending[0].left > 1e-9:
                break
            served[pending.pop(0).urgent] += 1
        step += 1
    return served


def _drop_excess(pending: list[_Pending], speed: float, now: float) -> None:
    total = 0.0
    index = 0
    while index < len(pending):
        total += pending[index].left
        if total > speed * max(0.0, pending[index].deadline - now):
            largest = max(range(index + 1), key=lambda i: pending[i].left)
            total -= pending.pop(largest).left
        else:
            index += 1
