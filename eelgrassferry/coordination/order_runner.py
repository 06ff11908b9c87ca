"""Sending orders to engines and reading their reports."""

import asyncio
from collections.abc import Callable

import structlog
from result import Err, Ok, Result

from ..fleet import UpstreamEntry
from ..http import HttpClient, HttpResponse
from ..leases import LeaseTerm
from ..metrics import Metrics
from ..ordering import EngineReport, OrderAnswer, SendOrder
from .engine_protocol import EngineProtocol

__all__ = ["OrderRunner"]

log = structlog.get_logger()

# In seconds. Engines respond to an order within a few milliseconds; the outcome of an order without
# a response within this time is unknown.
ORDER_TIMEOUT_S = 0.35
REPORT_TIMEOUT_S = 0.5
# Pause before an order without a response is sent again, in seconds.
REPEAT_PAUSE_S = 0.05
CLOSE = ("Connection", "close")


class OrderRunner:
    """Client that sends orders to engines and reads their reports on behalf of one holder.

    An order is sent only if ``term`` returns, at the time of sending, the term in which the order
    was started. Each order has a connection of its own: answers to orders carry no id, so a late
    second copy of one could be taken for the answer to the next order. A report that is such a copy
    does no harm, because the engine accepts an order only with the current number of orders.
    """

    def __init__(
        self,
        protocol: EngineProtocol,
        client: HttpClient,
        holder: str,
        term: Callable[[], LeaseTerm | None],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._protocol = protocol
        self._client = client
        self._holder = holder
        self._term = term
        self._clock = clock
        self._metrics = metrics

    async def send(self, action: SendOrder) -> OrderAnswer | None:
        """Send an order and return the engine's answer.

        Return None if the order was not sent because the term has ended.
        """
        term = self._term()
        if term is None:
            return None
        order, entry = action.order, action.entry
        if action.reason == "no answer":
            await asyncio.sleep(REPEAT_PAUSE_S)
        started_at = self._clock()
        body = self._protocol.encode_order(order, self._holder, term.epoch)
        sent = await self._client.request(
            entry.address,
            "POST",
            self._protocol.order_path,
            headers=(*self._protocol.order_headers(entry), CLOSE),
            body=body,
            timeout_s=ORDER_TIMEOUT_S,
            new_connection=True,
            guard=lambda: self._is_current_term(term),
        )
        if isinstance(sent, Err) and sent.err_value.step == "guard":
            return None
        answer = self._read_answer(sent)
        self._metrics.count(f"orders.{order.kind.value}.{answer.value}")
        log.info(
            "order given",
            step="give_order",
            peer=entry.address,
            upstream=entry.instance,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            expected_count=order.expected_count,
            epoch=term.epoch,
            reason=action.reason,
            answer=answer.value,
            detail=str(sent.err_value.detail) if isinstance(sent, Err) else "",
            took_ms=round((self._clock() - started_at) * 1000),
        )
        return answer

    async def read_report(self, entry: UpstreamEntry) -> Result[EngineReport, object]:
        """Read the report of an engine."""
        sent = await self._client.request(
            entry.address, "GET", self._protocol.report_path, timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(sent, Err):
            return sent
        if sent.ok_value.status != 200:
            return Err(f"status {sent.ok_value.status}")
        return self._protocol.decode_report(sent.ok_value.body)

    def _is_current_term(self, term: LeaseTerm) -> bool:
        current = self._term()
        return current is not None and current.epoch == term.epoch

    def _read_answer(self, sent: Result[HttpResponse, object]) -> OrderAnswer:
        match sent:
            case Ok(res):
                return self._protocol.decode_order_answer(res)
            case _:
                return OrderAnswer.UNKNOWN
