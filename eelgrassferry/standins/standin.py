"""What all stand-ins share: the server, the fault switches and the counts."""

import dataclasses
from collections import Counter
from typing import Any, Generic, TypeVar

from result import Err, Ok

from ..http import ExecutionStatus, HttpRequest, HttpResponse, HttpServer, Problem, Responder
from .faults import update_faults

__all__ = ["Standin", "refusal"]

DID_NOT_RUN = ("x-did-not-run", "1")

F = TypeVar("F")


def refusal(problem: Problem) -> HttpResponse:
    """Return a problem as a response, with ``X-Did-Not-Run: 1`` where it did not run."""
    response = problem.to_response()
    if problem.ran is not ExecutionStatus.NO:
        return response
    return dataclasses.replace(response, headers=(*response.headers, DID_NOT_RUN))


class Standin(Generic[F]):
    """Serves ``POST /faults``, ``GET /faults`` and ``GET /counts``; the rest is the subclass's.

    These control calls are answered whatever faults are set, so a test can always end a fault.
    A handler closes its connection without an answer by raising ``ConnectionResetError``.
    """

    def __init__(self, host: str, port: int, faults: F) -> None:
        self.faults = faults
        self.counts: Counter[str] = Counter()
        self._server = HttpServer(self._serve, host=host, port=port)

    @property
    def address(self) -> str:
        """The address in use as ``ip:port``."""
        return self._server.address

    async def start(self) -> None:
        """Bind and start to accept connections."""
        await self._server.start()

    async def close(self, grace_s: float | None = 5.0) -> None:
        """Stop accepting, wait up to ``grace_s`` for exchanges in flight, close the rest."""
        await self._server.close(grace_s)

    def set_faults(self, faults: F) -> None:
        """Replace the fault switches, as ``POST /faults`` does."""
        self.faults = faults

    def read_counts(self) -> dict[str, Any]:
        """Return the body of ``GET /counts``."""
        return dict(self.counts)

    async def handle(self, req: HttpRequest, out: Responder) -> None:
        """Answer a request that is not a control call."""
        raise NotImplementedError

    async def _serve(self, req: HttpRequest, out: Responder) -> None:
        match req.method, req.path:
            case "POST", "/faults":
                await out.send(self._change_faults(req.body))
            case "GET", "/faults":
                await out.send(HttpResponse.of_json(dataclasses.asdict(self.faults)))
            case "GET", "/counts":
                await out.send(HttpResponse.of_json(self.read_counts()))
            case _:
                await self.handle(req, out)

    def _change_faults(self, body: bytes) -> HttpResponse:
        match update_faults(self.faults, body):
            case Err(problem):
                return refusal(problem)
            case Ok(faults):
                self.set_faults(faults)
                return HttpResponse.of_json(dataclasses.asdict(faults))
