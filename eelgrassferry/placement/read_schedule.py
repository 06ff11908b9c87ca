"""Schedule of the reads of upstream records and statuses."""

import heapq
from collections.abc import Mapping

from .actions import ControlAction, ReadRecord, ReadStatus
from .area_state import UpstreamState

__all__ = ["ReadSchedule"]


class ReadSchedule:
    """Priority queue of due times.

    The cost of a tick depends on the number of due reads, not on the number of upstreams. Setting
    a later time for an upstream does not remove the earlier entry, which is skipped when it is
    due.
    """

    def __init__(self) -> None:
        self._due: list[tuple[float, str]] = []

    @property
    def next_due_s(self) -> float:
        """The earliest due time, or infinity if the schedule is empty."""
        return self._due[0][0] if self._due else float("inf")

    def schedule_record(self, state: UpstreamState, due_s: float) -> None:
        """Schedule the read of a record at ``due_s``, unless it has been read by then."""
        state.record_due_s = due_s
        heapq.heappush(self._due, (due_s, state.upstream.name))

    def schedule_status(self, state: UpstreamState, due_s: float) -> None:
        """Schedule the read of a status at ``due_s``."""
        state.status_due_s = due_s
        heapq.heappush(self._due, (due_s, state.upstream.name))

    def pop_due(self, upstreams: Mapping[str, UpstreamState], now: float) -> list[ControlAction]:
        """Return the reads that are due and mark them as pending."""
        actions: list[ControlAction] = []
        while self._due and self._due[0][0] <= now:
            _, name = heapq.heappop(self._due)
            state = upstreams.get(name)
            if state is None:
                continue
            unread = state.ledger.draft is None
            if unread and not state.record_read_pending and now >= state.record_due_s:
                state.record_read_pending = True
                actions.append(ReadRecord(name))
            if not state.status_read_pending and now >= state.status_due_s:
                state.status_read_pending = True
                actions.append(ReadStatus(name))
        return actions
