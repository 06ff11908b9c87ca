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
    """What a caller saw. ``status`` 0 means no answer; ``ran`` is a refusal's word."""

    status: int = 0
    reason: str = ""
    ran: str = ""
    key: str = ""


@dataclass(frozen=True)
class OrderCall:
    """An order with its ``Idempotency-Key``, sent to a path of ``target``."""

    target: Process
    path: str
    key: str
    future: "Future[OrderOutcome]"

    @property
    def outcome(self) -> OrderOutcome:
        """The outcome, as soon as there is one."""
        return self.future.result(TIMEOUT_S + 5)

    @staticmethod
    async def run(client: HttpClient, address: str, path: str, key: str) -> OrderOutcome:
        """Send the order once and read its answer."""
        headers = (("content-type", "application/json"), ("idempotency-key", key))
        sent = await client.request(
            address,
            "POST",
            path,
            headers=headers,
            body=b'{"item": "tent"}',
            timeout_s=TIMEOUT_S,
            new_connection=True,
        )
        match sent:
            case Err(error):
                return OrderOutcome(reason=error.step, ran="unknown" if error.sent else "no")
            case Ok(res) if res.status < 300:
                return OrderOutcome(res.status, key=res.json().get("key", ""))
            case Ok(res):
                body = res.json()
                return OrderOutcome(res.status, body.get("reason", ""), body.get("ran", ""))
