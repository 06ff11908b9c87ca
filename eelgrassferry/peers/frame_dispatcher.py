"""Processing of frames received on links."""

import asyncio
import inspect
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog
from result import Err, Ok, Result

from ..metrics import Metrics
from .errors import PeerError, PeerFailure, UnknownKind
from .frame import MAX_FRAME_BYTES, Frame, encode_frame
from .identity import Identity
from .link import Link
from .message import Message, decode_message, encode_message
from .requests import PendingRequests

__all__ = ["FrameDispatcher", "Handler"]

Handler = Callable[[Identity, Message], Any]

# Maximum number of concurrently running handlers per link; further requests are answered as
# unhandled.
MAX_RUNNING_PER_LINK = 1024
# Kind of the answer to a request whose handler is missing, failed or was not run.
UNHANDLED_KIND = "unhandled"

log = structlog.get_logger()


class FrameDispatcher:
    """Dispatcher that decodes received frames, resolves pending requests and calls handlers.

    A malformed body or a failing handler affects only its own frame.
    """

    def __init__(self, pending: PendingRequests, metrics: Metrics) -> None:
        self.handlers: dict[str, Handler] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self._pending = pending
        self._metrics = metrics
        self._running: Counter[Link] = Counter()

    def on_frame(self, link: Link, peer: Identity, frame: Frame) -> None:
        """Process a frame from an authenticated peer."""
        if frame.answer_to and frame.kind == UNHANDLED_KIND:
            self._resolve_request(link, frame, self._error(peer, PeerFailure.UNHANDLED))
            return
        decoded = decode_message(frame.kind, frame.body)
        if isinstance(decoded, Err):
            unknown = isinstance(decoded.err_value, UnknownKind)
            self._metrics.count("peers.unknown_kind" if unknown else "peers.malformed")
            log.warning("message dropped", step="decode", peer=peer.name, kind=frame.kind[:40])
            if frame.answer_to:
                self._resolve_request(link, frame, self._error(peer, PeerFailure.MALFORMED))
            else:
                self._answer(link, frame, None)
        elif frame.answer_to:
            self._resolve_request(link, frame, Ok(decoded.ok_value))
        else:
            self._call_handler(link, peer, frame, decoded.ok_value)

    def remove_link(self, link: Link) -> None:
        """Remove the state of a closed link."""
        self._running.pop(link, None)

    @staticmethod
    def _error(peer: Identity, failure: PeerFailure) -> Err[PeerError]:
        return Err(PeerError("request", peer.name, failure, sent=True))

    def _resolve_request(
        self, link: Link, frame: Frame, answer: Result[Message, PeerError]
    ) -> None:
        if not self._pending.resolve(link, frame.answer_to, answer):
            self._metrics.count("peers.late_answers")

    def _call_handler(self, link: Link, peer: Identity, frame: Frame, msg: Message) -> None:
        handler = self.handlers.get(frame.kind)
        if handler is None or self._running[link] >= MAX_RUNNING_PER_LINK:
            reason = "unhandled" if handler is None else "too_many_running"
            self._metrics.count(f"peers.dropped.{reason}")
            self._answer(link, frame, None)
            return
        try:
            answer = handler(peer, msg)
        except Exception as exc:
            log.error("handler failed", step="handle", peer=peer.name, exc_info=exc)
            answer = None
        if inspect.isawaitable(answer):
            self._running[link] += 1
            task = asyncio.ensure_future(self._await_handler(link, peer, frame, answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._answer(link, frame, answer)

    async def _await_handler(self, link: Link, peer: Identity, frame: Frame, answer: Any) -> None:
        msg = None
        try:
            msg = await answer
        except Exception as exc:
            log.error("handler failed", step="handle", peer=peer.name, exc_info=exc)
        finally:
            if link in self._running:
                self._running[link] -= 1
        self._answer(link, frame, msg)

    @staticmethod
    def _answer(link: Link, frame: Frame, msg: Message | None) -> None:
        if not frame.request_id:
            return
        kind, body = (UNHANDLED_KIND, None) if msg is None else encode_message(msg)
        data = encode_frame(Frame(kind, body, answer_to=frame.request_id))
        if len(data) > MAX_FRAME_BYTES:
            data = encode_frame(Frame(UNHANDLED_KIND, None, answer_to=frame.request_id))
        link.write_bytes(data)
