"""Pauses between the coordinator's plans."""

__all__ = ["PlanPacer"]

# Minimum time between two plans for up to six engines, and its upper limit for more engines, in
# seconds. A plan for six engines takes about a third of a millisecond.
MIN_PLAN_INTERVAL_S = 0.005
MAX_PLAN_INTERVAL_S = 0.05
# Largest share of the time that plans take. The rest is needed to renew the lease, to read the
# statuses of nodes and to serve callers.
MAX_PLAN_SHARE = 0.25
# Longest pause after a plan, in seconds, however long the plan took.
MAX_PAUSE_S = 0.25


class PlanPacer:
    """Determines when the next plan is due, from the duration of the previous one.

    Durations are times on a clock, so they include the time for which the process was not
    scheduled: on a machine with little processor time, plans are further apart.

    >>> pacer = PlanPacer()
    >>> pacer.record_plan(started_at=10.0, ended_at=10.03, engines=6)
    >>> round(pacer.next_at, 2)
    10.12
    """

    def __init__(self) -> None:
        self.next_at = float("-inf")

    def record_plan(self, started_at: float, ended_at: float, engines: int) -> None:
        """Record a plan for a number of engines, whose views were sent by ``ended_at``."""
        interval_s = min(MAX_PLAN_INTERVAL_S, MIN_PLAN_INTERVAL_S * max(1.0, engines / 6.0))
        pause_s = min(MAX_PAUSE_S, (ended_at - started_at) * (1.0 / MAX_PLAN_SHARE - 1.0))
        self.next_at = max(started_at + interval_s, ended_at + pause_s)
