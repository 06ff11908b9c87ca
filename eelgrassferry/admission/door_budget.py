"""The budget of memory and connections of one listener."""

from collections.abc import Iterable

from .door_limits import DoorLimits
from .holding import Holding, HoldingState

__all__ = ["DoorBudget"]

# A connection that holds less is turned away only if no larger one is left, because ordinary
# requests are small.
SMALL_BYTES = 32 * 1024
# Part of the limit that is added for small requests, so that they run while large ones are refused.
SMALL_RESERVE = 1 / 4
# Connections whose peers made progress within the same step count as equally fast, in seconds.
PROGRESS_STEP_S = 0.25


class DoorBudget:
    """Sums up what connections hold, and chooses those to end when it is too much.

    ``peak_bytes`` is the most that was held since its reader has last set it back.

    The connections whose peers have made no progress for longest are chosen first. Among equals it
    is the one that lacks most, so that one that is about to be complete is never ended for another.

    >>> budget = DoorBudget(DoorLimits(memory_bytes=1000))
    >>> stalled, moving = budget.open("a", 0.0), budget.open("b", 0.0)
    >>> budget.update(stalled, HoldingState.RECEIVING, 900, 100, 0.0)
    >>> budget.update(moving, HoldingState.RECEIVING, 900, 100, 9.0)
    >>> budget.choose_over_memory(9.0).owner
    'a'
    """

    def __init__(self, limits: DoorLimits) -> None:
        self.limits = limits
        self.bytes_held = 0
        self.peak_bytes = 0
        self._holdings: dict[Holding, None] = {}

    def open(self, owner: object, now: float) -> Holding:
        """Add a connection."""
        holding = Holding(owner, now)
        self._holdings[holding] = None
        return holding

    def is_open(self, holding: Holding) -> bool:
        """Return whether a connection is still counted."""
        return holding in self._holdings

    def close(self, holding: Holding) -> None:
        """Remove a connection, which may have been removed before."""
        if holding in self._holdings:
            del self._holdings[holding]
            self.bytes_held -= holding.bytes_held

    def update(
        self,
        holding: Holding,
        state: HoldingState,
        bytes_held: int,
        bytes_left: int,
        progress_at: float,
    ) -> None:
        """Set what a connection holds, lacks and does."""
        if holding in self._holdings:
            self.bytes_held += bytes_held - holding.bytes_held
            self.peak_bytes = max(self.peak_bytes, self.bytes_held)
        holding.state = state
        holding.bytes_held = bytes_held
        holding.bytes_left = bytes_left
        holding.progress_at = progress_at

    @property
    def is_over(self) -> bool:
        """Whether more memory is held than the limit."""
        return self.bytes_held > self.limits.memory_bytes

    def may_run(self, holding: Holding) -> bool:
        """Return whether a complete request may be kept until it is answered.

        A small one may use a reserve. One that is larger than the budget may run alone.
        """
        limit = self.limits.memory_bytes
        if holding.bytes_held < SMALL_BYTES:
            return self.bytes_held <= limit * (1 + SMALL_RESERVE)
        others = self.bytes_held - holding.bytes_held
        return self.bytes_held <= limit or others <= limit * SMALL_RESERVE

    def choose_over_memory(self, now: float) -> Holding | None:
        """Return the connection to end because too much memory is held, or None.

        The last large one is kept, so that a request within the limits is served when it is alone.
        """
        if not self.is_over:
            return None
        waiting = [h for h in self._holdings if h.state in _WAITING_FOR_PEER and h.bytes_held]
        large = [h for h in waiting if h.bytes_held >= SMALL_BYTES]
        if len(large) == 1:
            waiting.remove(large[0])
            large = []
        return self._choose(large or waiting, now)

    def choose_over_connections(self, now: float) -> Holding | None:
        """Return the connection to end before another one can be accepted, or None.

        Idle ones come first, unless they have just been accepted or answered, and those that wait
        for this node are never ended.
        """
        idle = [
            h
            for h in self._holdings
            if h.state is HoldingState.IDLE and now - h.progress_at >= PROGRESS_STEP_S
        ]
        waiting = (h for h in self._holdings if h.state in _WAITING_FOR_PEER)
        return self._choose(idle or waiting, now)

    @property
    def has_free_connection(self) -> bool:
        """Whether another connection can be accepted."""
        return len(self._holdings) < self.limits.connections

    def _choose(self, holdings: Iterable[Holding], now: float) -> Holding | None:
        def rank(holding: Holding) -> tuple[int, int]:
            return int((now - holding.progress_at) / PROGRESS_STEP_S), holding.bytes_left

        return max(holdings, key=rank, default=None)


_WAITING_FOR_PEER = (HoldingState.RECEIVING, HoldingState.SENDING)
