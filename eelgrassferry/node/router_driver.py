"""Runs the routing state machine: carries out its actions and feeds it what happened."""

import asyncio
from collections.abc import Callable

from ..metrics import Metrics
from ..routing import (
    Dispatch,
    Preempt,
    Refuse,
    Router,
    RouteRequest,
    UpstreamFailure,
)

__all__ = ["RouterDriver", "Ticket"]

TICK_S = 0.02

TicketAction = Dispatch | Refuse | Preempt


class Ticket:
    """One request's view of the router: what to do next."""

    def __init__(self, request: RouteRequest) -> None:
        self.request = request
        self._actions: asyncio.Queue[TicketAction] = asyncio.Queue()

    async def next(self) -> TicketAction:
        """Wait for the router's next action for this request."""
        return await self._actions.get()

    def put(self, action: TicketAction) -> None:
        """Hand an action to the task that serves the request."""
        self._actions.put_nowait(action)


class RouterDriver:
    """Owns one router. Actions that concern other parts go to ``on_other``."""

    def __init__(
        self,
        router: Router,
        metrics: Metrics,
        clock: Callable[[], float],
        on_other: Callable[[object], None],
    ) -> None:
        self.router = router
        self._metrics = metrics
        self._clock = clock
        self._on_other = on_other
        self._tickets: dict[str, Ticket] = {}

    def submit(self, request: RouteRequest) -> Ticket:
        """Give a request to the router."""
        ticket = Ticket(request)
        self._tickets[request.request_id] = ticket
        self.apply(self.router.submit(request, self._clock()))
        return ticket

    def first_token(self, request_id: str) -> None:
        """Note that a request's first token has arrived."""
        self.apply(self.router.record_first_token(request_id, self._clock()))

    def tokens(self, request_id: str, count: int) -> None:
        """Note tokens that have arrived."""
        self.apply(self.router.record_tokens(request_id, count, self._clock()))

    def finish(self, request_id: str) -> None:
        """Note that a request has been answered in full."""
        self._tickets.pop(request_id, None)
        self.apply(self.router.finish(request_id, self._clock()))

    def fail(self, request_id: str, failure: UpstreamFailure, tokens_received: int) -> None:
        """Note that an attempt failed; the router retries it or refuses the request."""
        self.apply(self.router.fail(request_id, failure, tokens_received, self._clock()))

    def cancel(self, request_id: str) -> None:
        """Drop a request whose caller has left."""
        if self._tickets.pop(request_id, None) is not None:
            self._metrics.count("cancelled.caller_left")
            self.apply(self.router.cancel(request_id, self._clock()))

    def apply(self, actions: tuple[object, ...]) -> None:
        """Carry out the router's actions."""
        for action in actions:
            match action:
                case Refuse(request_id=request_id):
                    self._metrics.count(f"refused.{action.reason.value}")
                    self._hand_over(request_id, action, last=True)
                case Dispatch(request_id=request_id) | Preempt(request_id=request_id):
                    self._hand_over(request_id, action, last=False)
                case _:
                    self._on_other(action)

    async def run(self) -> None:
        """Tick the router until cancelled."""
        while True:
            self.apply(self.router.tick(self._clock()))
            await asyncio.sleep(TICK_S)

    def _hand_over(self, request_id: str, action: TicketAction, *, last: bool) -> None:
        ticket = self._tickets.get(request_id)
        if ticket is not None:
            ticket.put(action)
            if last:
                del self._tickets[request_id]
