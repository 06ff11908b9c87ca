"""This node's turns at upstreams that limit their rate."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from ..fleet import instance_of
from .turn_book import TurnBook, TurnReply, TurnRequest
from .upstream_notices import UpstreamNotices

__all__ = ["UpstreamTurns"]

# Turns are booked this long ahead at most, in seconds. Otherwise patient requests would take the
# turns ahead of urgent ones, which cannot wait as long.
MAX_AHEAD_S = 0.4
# A turn that is not used for this long is given up, in seconds.
TURN_VALID_S = 0.5
# Expected time until a reply, in seconds: a message to the coordinator and back.
REPLY_S = 0.004
# A request without a reply for this long is not answered any more, in seconds. This node then books
# its own share of the turns, as it does without a coordinator.
REPLY_TIMEOUT_S = 0.2
# A share that was not used for this long starts anew, in seconds.
SHARE_IDLE_S = 2.0


@dataclass
class ProcessTurns:
    """State of the turns at one process.

    ``turns`` are the times of the booked turns, ``next_at`` the earliest time of a further one and
    ``wanted`` the longest waits of the requests that want a turn, in seconds. ``requested`` is the
    number of turns that were requested at ``requested_at`` and have no reply.
    """

    turns: list[float] = field(default_factory=list)
    next_at: float = float("-inf")
    wanted: list[float] = field(default_factory=list)
    requested: int = 0
    requested_at: float = float("-inf")
    shared_at: float = float("-inf")


class UpstreamTurns:
    """Turns at which this node may send requests to the processes that limit their rate.

    The coordinator books the turns of all nodes, because a limit holds for all of them together: a
    node that wants to send a request asks for a turn first (``want``, ``pop_requests``) and sends
    the request once the turn has come (``apply``, ``take``). A node without a reply books turns
    by itself, at the share of the limit that it has among ``node_count`` nodes.
    """

    def __init__(self, notices: UpstreamNotices, rng: Random) -> None:
        self.node_count = 1
        self._notices = notices
        self._rng = rng
        self._processes: dict[str, ProcessTurns] = {}
        self._share = TurnBook(burst_s=0.0)

    def wait_s(self, process_id: str, now: float) -> float:
        """Return the expected time until a further request may be sent to a process, in seconds.

        It is 0 if the process names no limit, or if this node has a turn for the request.
        """
        if self._notices.limit_per_s(process_id) is None:
            return 0.0
        state = self._state(process_id)
        while state.turns and now - state.turns[0] > TURN_VALID_S:
            del state.turns[0]
        if len(state.wanted) < len(state.turns):
            return max(0.0, state.turns[len(state.wanted)] - now)
        return max(REPLY_S, state.next_at - now)

    def take(self, process_id: str) -> None:
        """Use the first turn at a process, if it limits its rate."""
        state = self._processes.get(process_id)
        if state is not None and state.turns:
            del state.turns[0]

    def want(self, process_id: str, max_wait_s: float) -> None:
        """Record that a request wants a turn at a process within ``max_wait_s`` seconds."""
        self._state(process_id).wanted.append(min(MAX_AHEAD_S, max_wait_s))

    def clear_wanted(self) -> None:
        """Forget which requests want turns, because all waiting ones are tried again."""
        for state in self._processes.values():
            state.wanted.clear()

    def pop_requests(self, now: float, has_coordinator: bool) -> list[TurnRequest]:
        """Return the requests for turns to send to the coordinator.

        Turns that the coordinator cannot book are booked here.
        """
        requests = []
        for process_id, state in self._processes.items():
            is_overdue = state.requested > 0 and now - state.requested_at >= REPLY_TIMEOUT_S
            if is_overdue:
                state.requested = 0
            count = len(state.wanted) - len(state.turns) - state.requested
            if count <= 0 or now < state.next_at - max(state.wanted):
                continue
            request = TurnRequest(process_id, count, max(state.wanted))
            if is_overdue or not has_coordinator:
                self._book_share(request, now)
                continue
            state.requested += count
            state.requested_at = now
            requests.append(request)
        return requests

    def apply(self, replies: Iterable[TurnReply]) -> None:
        """Add the turns that the coordinator has booked."""
        for reply in replies:
            state = self._state(reply.process_id)
            state.requested = max(0, state.requested - reply.count)
            _add_turns(state, reply)

    def forget(self, instance: str) -> None:
        """Remove the turns at an upstream that has stopped or restarted."""
        for process_id in [key for key in self._processes if instance_of(key) == instance]:
            del self._processes[process_id]
            self._share.forget(process_id)

    def _book_share(self, request: TurnRequest, now: float) -> None:
        """Book turns at this node's share of the limit."""
        state = self._state(request.process_id)
        limit_per_s = self._notices.limit_per_s(request.process_id)
        if limit_per_s is None:
            return
        per_s = limit_per_s / self.node_count
        if now - state.shared_at > SHARE_IDLE_S:
            # All nodes lose their coordinator at the same moment, and must not all begin then.
            self._share.delay(request.process_id, now + self._rng.uniform(0.0, 1.0 / per_s))
        state.shared_at = now
        _add_turns(state, self._share.book(request, per_s, now))

    def _state(self, process_id: str) -> ProcessTurns:
        return self._processes.setdefault(process_id, ProcessTurns())


def _add_turns(state: ProcessTurns, reply: TurnReply) -> None:
    state.turns = sorted((*state.turns, *reply.turns))
    state.next_at = reply.next_at
