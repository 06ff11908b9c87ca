"""Matching of answers with the requests of this node."""

import asyncio
from dataclasses import dataclass

from result import Err, Result

from .errors import PeerError, PeerFailure
from .link import Link
from .message import Message

__all__ = ["PendingRequests"]

Answer = Result[Message, PeerError]


@dataclass(frozen=True)
class _Pending:
    link: Link
    peer: str
    fut: asyncio.Future[Answer]


class PendingRequests:
    """Requests that wait for an answer. An id is used once and only on its own link."""

    def __init__(self) -> None:
        self._last_id = 0
        self._pending: dict[int, _Pending] = {}

    def add(self, link: Link, peer: str) -> tuple[int, asyncio.Future[Answer]]:
        """Return a new id and the future of its answer."""
        self._last_id += 1
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending[self._last_id] = _Pending(link, peer, fut)
        return self._last_id, fut

    def remove(self, req_id: int) -> None:
        """Forget a request; a later answer counts as late."""
        self._pending.pop(req_id, None)

    def settle(self, link: Link, req_id: int, answer: Answer) -> bool:
        """Pass on an answer; return False where nobody waits for it on this link."""
        pending = self._pending.get(req_id)
        if pending is None or pending.link is not link:
            return False
        del self._pending[req_id]
        if not pending.fut.done():
            pending.fut.set_result(answer)
        return True

    def lose(self, link: Link) -> None:
        """End all requests of a link that has closed."""
        lost = [(key, held) for key, held in self._pending.items() if held.link is link]
        for req_id, held in lost:
            error = PeerError("request", held.peer, PeerFailure.LOST, sent=True)
            self.settle(link, req_id, Err(error))
