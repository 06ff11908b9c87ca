"""When to read which upstream's record and status."""

import heapq
from collections.abc import Mapping

from .actions import ControlAction, ReadRecord, ReadStatus
from .area_state import UpstreamState

__all__ = ["ReadSchedule"]


class ReadSchedule:
    """A queue of due times, so that a tick costs what is due and not what exists.

    A later time for the same upstream leaves the earlier entry behind, which is skipped when it
    comes up.
    """

    def __init__(self) -> None:
        self._due: list[tuple[float, str]] = []

    @property
    def first_s(self) -> float:
        """The time of the first entry."""
        return self._due[0][0] if self._due else float("inf")

    def record_at(self, state: UpstreamState, due_s: float) -> None:
        """Read a record at ``due_s``, if it is not known by then."""
        state.record_due_s = due_s
        heapq.heappush(self._due, (due_s, state.upstream.name))

    def status_at(self, state: UpstreamState, due_s: float) -> None:
        """Read a status at ``due_s``."""
        state.status_due_s = due_s
        heapq.heappush(self._due, (due_s, state.upstream.name))

    def take_due(self, upstreams: Mapping[str, UpstreamState], now: float) -> list[ControlAction]:
        """Return the reads that are due and mark them as outstanding."""
        actions: list[ControlAction] = []
        while self._due and self._due[0][0] <= now:
            _, name = heapq.heappop(self._due)
            state = upstreams.get(name)
            if state is None:
                continue
            unread = state.ledger.draft is None
            if unread and not state.record_busy and now >= state.record_due_s:
                state.record_busy = True
                actions.append(ReadRecord(name))
            if not state.status_busy and now >= state.status_due_s:
                state.status_busy = True
                actions.append(ReadStatus(name))
        return actions
