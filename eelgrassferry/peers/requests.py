"""Matching of received answers with pending requests."""

import asyncio
from dataclasses import dataclass

from result import Err, Result

from .errors import PeerError, PeerFailure
from .link import Link
from .message import Message

__all__ = ["PendingRequests"]

Answer = Result[Message, PeerError]


@dataclass(frozen=True)
class _PendingRequest:
    link: Link
    peer: str
    fut: asyncio.Future[Answer]


class PendingRequests:
    """Pending requests by id.

    An id is used only once, and an answer is accepted only on the link of its request.
    """

    def __init__(self) -> None:
        self._last_id = 0
        self._pending: dict[int, _PendingRequest] = {}

    def add(self, link: Link, peer: str) -> tuple[int, asyncio.Future[Answer]]:
        """Register a request; return its id and a future for the answer."""
        self._last_id += 1
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending[self._last_id] = _PendingRequest(link, peer, fut)
        return self._last_id, fut

    def remove(self, req_id: int) -> None:
        """Remove a request; an answer received afterwards is counted as late."""
        self._pending.pop(req_id, None)

    def resolve(self, link: Link, req_id: int, answer: Answer) -> bool:
        """Complete a request with an answer.

        Return False if no request with this id is pending on the link.
        """
        pending = self._pending.get(req_id)
        if pending is None or pending.link is not link:
            return False
        del self._pending[req_id]
        if not pending.fut.done():
            pending.fut.set_result(answer)
        return True

    def fail_link(self, link: Link) -> None:
        """Complete all requests of a closed link with a ``LOST`` error."""
        lost = [(key, pending) for key, pending in self._pending.items() if pending.link is link]
        for req_id, pending in lost:
            error = PeerError("request", pending.peer, PeerFailure.LOST, sent=True)
            self.resolve(link, req_id, Err(error))
