"""Drives the routing state machine: passes events to it and performs its actions."""

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

__all__ = ["RequestHandle", "RouterDriver"]

TICK_PERIOD_S = 0.02

RequestAction = Dispatch | Refuse | Preempt


class RequestHandle:
    """A request submitted to the router, with the queue of the router's actions for it."""

    def __init__(self, request: RouteRequest) -> None:
        self.request = request
        self._actions: asyncio.Queue[RequestAction] = asyncio.Queue()

    async def next(self) -> RequestAction:
        """Wait for the router's next action for this request."""
        return await self._actions.get()

    def put(self, action: RequestAction) -> None:
        """Queue an action for the task that serves the request."""
        self._actions.put_nowait(action)


class RouterDriver:
    """Drives one router with a clock and a timer.

    Actions that concern a request go to its handle, all others to ``on_other_action``.
    """

    def __init__(
        self,
        router: Router,
        metrics: Metrics,
        clock: Callable[[], float],
        on_other_action: Callable[[object], None],
    ) -> None:
        self.router = router
        self._metrics = metrics
        self._clock = clock
        self._on_other_action = on_other_action
        self._handles: dict[str, RequestHandle] = {}

    def submit(self, request: RouteRequest) -> RequestHandle:
        """Submit a request to the router and return its handle."""
        handle = RequestHandle(request)
        self._handles[request.request_id] = handle
        self.apply(self.router.submit(request, self._clock()))
        return handle

    def record_first_token(self, request_id: str) -> None:
        """Record the arrival of a request's first token."""
        self.apply(self.router.record_first_token(request_id, self._clock()))

    def record_tokens(self, request_id: str, count: int) -> None:
        """Record the arrival of ``count`` tokens."""
        self.apply(self.router.record_tokens(request_id, count, self._clock()))

    def finish(self, request_id: str) -> None:
        """Record that a request has been answered completely."""
        self._handles.pop(request_id, None)
        self.apply(self.router.finish(request_id, self._clock()))

    def fail(self, request_id: str, failure: UpstreamFailure, tokens_received: int) -> None:
        """Record a failed attempt, upon which the router retries or refuses the request."""
        self.apply(self.router.fail(request_id, failure, tokens_received, self._clock()))

    def cancel(self, request_id: str) -> None:
        """Cancel a request whose caller disconnected; do nothing for a finished request."""
        if self._handles.pop(request_id, None) is not None:
            self._metrics.count("cancelled.caller_left")
            self.apply(self.router.cancel(request_id, self._clock()))

    def apply(self, actions: tuple[object, ...]) -> None:
        """Perform the router's actions."""
        for action in actions:
            match action:
                case Refuse(request_id=request_id):
                    self._metrics.count(f"refused.{action.reason.value}")
                    self._deliver(request_id, action, last=True)
                case Dispatch(request_id=request_id) | Preempt(request_id=request_id):
                    self._deliver(request_id, action, last=False)
                case _:
                    self._on_other_action(action)

    async def run(self) -> None:
        """Call the router's ``tick`` periodically until cancelled."""
        while True:
            self.apply(self.router.tick(self._clock()))
            await asyncio.sleep(TICK_PERIOD_S)

    def _deliver(self, request_id: str, action: RequestAction, *, last: bool) -> None:
        handle = self._handles.get(request_id)
        if handle is not None:
            handle.put(action)
            if last:
                del self._handles[request_id]
