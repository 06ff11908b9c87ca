"""One order of a scenario (a booking or a print order) and its outcome."""

from concurrent.futures import Future
from dataclasses import dataclass

from result import Err, Ok

from eelgrassferry.http import HttpClient

from .process import Process

__all__ = ["OrderCall", "OrderOutcome"]

TIMEOUT_S = 30.0


@dataclass(frozen=True)
class OrderOutcome:
    """The outcome of an order as observed by its caller.

    ``status`` is the HTTP status, 0 without an answer. ``ran`` tells whether a refused or
    unanswered order ran: "yes", "no" or "unknown". ``key`` is the ``Idempotency-Key`` in a
    confirmation.
    """

    status: int = 0
    reason: str = ""
    ran: str = ""
    key: str = ""


@dataclass(frozen=True)
class OrderCall:
    """An order sent to a path of ``target``.

    ``key`` is its ``Idempotency-Key``, ``future`` its outcome.
    """

    target: Process
    path: str
    key: str
    future: "Future[OrderOutcome]"

    @property
    def outcome(self) -> OrderOutcome:
        """The outcome; blocks until it is available."""
        return self.future.result(TIMEOUT_S + 5)

    @staticmethod
    async def send(client: HttpClient, address: str, path: str, key: str) -> OrderOutcome:
        """Send an order once and return its outcome."""
        headers = (("content-type", "application/json"), ("idempotency-key", key))
        result = await client.request(
            address,
            "POST",
            path,
            headers=headers,
            body=b'{"item": "tent"}',
            timeout_s=TIMEOUT_S,
            new_connection=True,
        )
        match result:
            case Err(error):
                return OrderOutcome(reason=error.step, ran="unknown" if error.sent else "no")
            case Ok(res) if res.status < 300:
                return OrderOutcome(res.status, key=res.json().get("key", ""))
            case Ok(res):
                body = res.json()
                return OrderOutcome(res.status, body.get("reason", ""), body.get("ran", ""))
