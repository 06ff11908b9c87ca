"""Encodes orders to engines and decodes their answers."""

import json

from ..fleet import UpstreamEntry
from ..http import HttpResponse
from ..ordering import FleetOrder, OrderAnswer
from ..placement import OrderKind

__all__ = ["decode_order_answer", "encode_order", "order_headers"]

EXPECT_INSTANCE = "Eelgrassferry-Expect-Instance"
OPERATIONS = {
    OrderKind.LOAD_MODEL: "load",
    OrderKind.LOAD_ADAPTER: "load",
    OrderKind.UNLOAD_MODEL: "unload",
    OrderKind.UNLOAD_ADAPTER: "unload",
}
ANSWERS = {
    200: OrderAnswer.HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.OTHER_INSTANCE,
}


def encode_order(order: FleetOrder, holder: str, epoch: int) -> bytes:
    """Return the body of an order."""
    body: dict[str, object] = {"operation": OPERATIONS[order.kind], "model": order.model}
    if order.adapter:
        body["adapter"] = order.adapter
    # "expect" is the number of orders that the engine must have accepted so far.
    body |= {"expect": order.expected_count, "holder": holder, "fencing_token": epoch}
    return json.dumps(body, separators=(",", ":")).encode()


def order_headers(entry: UpstreamEntry) -> tuple[tuple[str, str], ...]:
    """Return the headers of an order to one incarnation of an engine."""
    return (("Content-Type", "application/json"), (EXPECT_INSTANCE, entry.instance))


def decode_order_answer(res: HttpResponse) -> OrderAnswer:
    """Return what an answer says of its order; an answer that says nothing leaves it open."""
    answer = ANSWERS.get(res.status)
    if answer is not None:
        return answer
    return OrderAnswer.REJECTED if 400 <= res.status < 500 else OrderAnswer.UNKNOWN
