"""Sends orders to engines and reads their reports."""

import asyncio
from collections.abc import Callable

import structlog
from result import Err, Ok, Result

from ..fleet import UpstreamEntry
from ..http import HttpClient, HttpResponse
from ..leases import LeaseTerm
from ..metrics import Metrics
from ..ordering import EngineReport, OrderAnswer, SendOrder
from .engine_wire import EngineWire

__all__ = ["OrderRunner"]

log = structlog.get_logger()

# Engines answer an order within a few ms; one that has no answer by then is treated as open.
ORDER_TIMEOUT_S = 0.35
REPORT_TIMEOUT_S = 0.5
# Retry pause after an order without an answer, in seconds.
REPEAT_PAUSE_S = 0.05


class OrderRunner:
    """Speaks with engines on behalf of one holder. An order is sent only if ``term`` says, in the
    moment of sending, that this node still holds the lease.
    """

    def __init__(
        self,
        wire: EngineWire,
        client: HttpClient,
        holder: str,
        term: Callable[[], LeaseTerm | None],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._wire = wire
        self._client = client
        self._holder = holder
        self._term = term
        self._clock = clock
        self._metrics = metrics

    async def give(self, action: SendOrder) -> OrderAnswer | None:
        """Send an order; None means that it was not sent because the lease has ended."""
        term = self._term()
        if term is None:
            return None
        order, entry = action.order, action.entry
        if action.reason == "no answer":
            await asyncio.sleep(REPEAT_PAUSE_S)
        began = self._clock()
        body = self._wire.encode_order(order, self._holder, term.epoch)
        sent = await self._client.request(
            entry.address,
            "POST",
            self._wire.order_path,
            headers=self._wire.order_headers(entry),
            body=body,
            timeout_s=ORDER_TIMEOUT_S,
            guard=lambda: self._still_holds(term),
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
            took_ms=round((self._clock() - began) * 1000),
        )
        return answer

    async def read_report(self, entry: UpstreamEntry) -> Result[EngineReport, object]:
        """Read an engine's report."""
        sent = await self._client.request(
            entry.address, "GET", self._wire.report_path, timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(sent, Err):
            return sent
        if sent.ok_value.status != 200:
            return Err(f"status {sent.ok_value.status}")
        return self._wire.decode_report(sent.ok_value.body)

    def _still_holds(self, term: LeaseTerm) -> bool:
        now = self._term()
        return now is not None and now.epoch == term.epoch

    def _read_answer(self, sent: Result[HttpResponse, object]) -> OrderAnswer:
        match sent:
            case Ok(res):
                return self._wire.decode_order_answer(res)
            case _:
                return OrderAnswer.UNKNOWN
