"""Back-pressure on answers that are received completely before they are sent."""

from typing import TYPE_CHECKING

from ..admission import DoorBudget

if TYPE_CHECKING:
    from .exchange import Exchange

__all__ = ["AnswerGate"]


class AnswerGate:
    """Pauses the answers in arrival while the budget of memory is used up, except for one.

    That one is received completely, so that its memory can be freed.
    """

    def __init__(self, budget: DoorBudget) -> None:
        self._budget = budget
        self._leader: Exchange | None = None
        self._paused: dict[Exchange, None] = {}

    def admit(self, exchange: "Exchange") -> None:
        """Pause an answer that has grown, if there is no memory for it."""
        if not self._budget.is_over or exchange is self._leader:
            return
        if self._leader is None:
            self._leader = exchange
            return
        self._paused[exchange] = None
        exchange.pause_answer()

    def leave(self, exchange: "Exchange") -> None:
        """Remove a request that has ended or is sent again, and let another answer go on."""
        self._paused.pop(exchange, None)
        if exchange is self._leader:
            self._leader = None
        self.release()

    def release(self) -> None:
        """Resume the longest of the paused answers if there is memory for it or none goes on."""
        if self._paused and (self._leader is None or not self._budget.is_over):
            exchange = max(self._paused, key=lambda paused: paused.answer_bytes)
            del self._paused[exchange]
            self._leader = exchange
            exchange.resume_answer()
