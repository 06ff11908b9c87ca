"""Booking of the turns at which requests may be sent to upstreams that limit their rate."""

from dataclasses import dataclass

from ..pacing import Pace

__all__ = ["TurnBook", "TurnReply", "TurnRequest"]

# An upstream that was idle takes the requests of this time at once, in seconds.
BURST_S = 1.0


@dataclass(frozen=True)
class TurnRequest:
    """Request of a node for ``count`` turns at a process of an upstream.

    The turns are of no use to the node if they come later than in ``max_wait_s`` seconds.
    """

    process_id: str
    count: int
    max_wait_s: float


@dataclass(frozen=True)
class TurnReply:
    """Reply to a request for turns.

    ``turns`` are the times of the turns that were booked, and ``next_at`` is the earliest time of
    the next one, in seconds. ``count`` is the number of turns that were requested.
    """

    process_id: str
    count: int
    turns: tuple[float, ...]
    next_at: float


class TurnBook:
    """Books turns so that each process gets requests at a given rate at most.

    The turns of a process are ``1 / per_s`` seconds apart, except that turns which were not used in
    the last ``burst_s`` seconds may be caught up on.

    >>> book = TurnBook(burst_s=0.0)
    >>> book.book(TurnRequest("u1/5", 3, max_wait_s=0.5), per_s=4.0, now=10.0)
    TurnReply(process_id='u1/5', count=3, turns=(10.0, 10.25, 10.5), next_at=10.75)
    """

    def __init__(self, burst_s: float = BURST_S) -> None:
        self._burst_s = burst_s
        self._paces: dict[str, Pace] = {}

    def book(self, request: TurnRequest, per_s: float, now: float) -> TurnReply:
        """Book as many of the requested turns as there are within the longest wait."""
        interval_s, pace = 1.0 / per_s, self._pace(request.process_id, now)
        turns: list[float] = []
        while len(turns) < request.count:
            start_at = pace.start_at(now, self._burst_s)
            if start_at > now + request.max_wait_s:
                break
            pace.spend(interval_s, now, self._burst_s)
            turns.append(start_at)
        next_at = pace.start_at(now, self._burst_s)
        return TurnReply(request.process_id, request.count, tuple(turns), next_at)

    def delay(self, process_id: str, until: float) -> None:
        """Book no turn at a process before a time, in seconds."""
        self._pace(process_id, until).delay(until)

    def forget(self, process_id: str) -> None:
        """Remove a process that has ended or no longer limits its rate."""
        self._paces.pop(process_id, None)

    def _pace(self, process_id: str, now: float) -> Pace:
        return self._paces.setdefault(process_id, Pace(now))
