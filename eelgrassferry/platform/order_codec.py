"""Codec for orders to engines and the engines' responses."""

import json

from ..fleet import UpstreamEntry
from ..http import HttpResponse
from ..ordering import FleetOrder, OrderAnswer
from ..placement import OrderKind

__all__ = ["decode_order_answer", "encode_order", "order_headers"]

EXPECT_INSTANCE = "Eelgrassferry-Expect-Instance"
OPERATIONS_BY_KIND = {
    OrderKind.LOAD_MODEL: "load",
    OrderKind.LOAD_ADAPTER: "load",
    OrderKind.UNLOAD_MODEL: "unload",
    OrderKind.UNLOAD_ADAPTER: "unload",
}
ANSWERS_BY_STATUS = {
    200: OrderAnswer.HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.OTHER_INSTANCE,
}


def encode_order(order: FleetOrder, holder: str, epoch: int) -> bytes:
    """Return the JSON body of an order.

    ``holder`` is the node that holds the coordinator's lease. ``epoch`` is the lease's fencing
    token, by which an engine rejects orders of earlier holders.
    """
    body: dict[str, object] = {"operation": OPERATIONS_BY_KIND[order.kind], "model": order.model}
    if order.adapter:
        body["adapter"] = order.adapter
    # The engine rejects the order unless it has accepted exactly "expect" orders before.
    body |= {"expect": order.expected_count, "holder": holder, "fencing_token": epoch}
    return json.dumps(body, separators=(",", ":")).encode()


def order_headers(entry: UpstreamEntry) -> tuple[tuple[str, str], ...]:
    """Return the headers of an order to one instance of an engine, which any other rejects."""
    return (("Content-Type", "application/json"), (EXPECT_INSTANCE, entry.instance))


def decode_order_answer(res: HttpResponse) -> OrderAnswer:
    """Return the outcome of an order from the engine's response.

    A status outside 4xx that is not listed in ``ANSWERS_BY_STATUS`` leaves the outcome unknown.
    """
    answer = ANSWERS_BY_STATUS.get(res.status)
    if answer is not None:
        return answer
    return OrderAnswer.REJECTED if 400 <= res.status < 500 else OrderAnswer.UNKNOWN
