"""The links of one node with its peers."""

import asyncio
from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

import structlog
from result import Err, Ok, Result

from ..http import split_address
from ..metrics import Metrics
from .backoff import Backoff
from .errors import FrameTooLarge, HandshakeError, PeerError, PeerFailure, VersionMismatch
from .frame import MAX_FRAME_BYTES, Frame, encode_frame
from .identity import Identity
from .inbox import Handler, Inbox
from .link import Link
from .message import Message, encode_message, kind_of
from .requests import PendingRequests

__all__ = ["PeerMesh"]

CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 3.0
# Links that have not proved themselves yet; all 330 nodes of a fleet may dial at once.
MAX_HANDSHAKES = 512

log = structlog.get_logger()


class PeerMesh:
    """Keeps links to the targets and seeds, sends messages and answers requests.

    A link serves both directions, whichever side dialled it; where both sides dialled at the
    same time, both links stay and the newest is used. ``blocked`` holds names of nodes or
    failure domains that this node neither sends to nor accepts from.

    >>> mesh = PeerMesh("n1", "d1", "i1", "127.0.0.1:0", ("key",))
    >>> mesh.handle(Ping, lambda peer, ping: Pong(ping.number))
    >>> await mesh.start()
    >>> await mesh.request("n2", Ping(1), 0.5)
    Ok(Pong(number=1))
    """

    def __init__(
        self,
        name: str,
        domain: str,
        instance: str,
        listen: str,
        keys: tuple[str, ...],
        seeds: Iterable[str] = (),
        *,
        metrics: Metrics | None = None,
        rng: Random | None = None,
    ) -> None:
        if not keys:
            raise ValueError("at least one peer key is required")
        self.blocked: set[str] = set()
        self.metrics = metrics or Metrics()
        self._closed_sent = 0
        self._closed_received = 0
        self._me = Identity(name, domain, instance, listen)
        self._keys = keys
        self._seeds = tuple(seeds)
        self._rng = rng or Random()
        self._links: dict[str, list[Link]] = {}
        self._unproved: set[Link] = set()
        self._targets: dict[str, str] = {}
        self._dialers: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._pending = PendingRequests()
        self._inbox = Inbox(self._pending, self.metrics)
        self._server: asyncio.Server | None = None

    @property
    def identity(self) -> Identity:
        """This node, with the address in use once started."""
        return self._me

    @property
    def address(self) -> str:
        """The address in use as ``ip:port``, with the kernel's port where 0 was asked for."""
        return self._me.address

    @property
    def peers(self) -> tuple[Identity, ...]:
        """The peers with a usable link, by name."""
        names = sorted(name for name in self._links if self._link_to(name))
        return tuple(peer for name in names if (peer := self._links[name][-1].peer))

    @property
    def bytes_sent(self) -> int:
        """Bytes sent over all links so far, without the headers of TCP."""
        return self._closed_sent + sum(x.bytes_sent for held in self._links.values() for x in held)

    @property
    def bytes_received(self) -> int:
        """Bytes received over all links so far, without the headers of TCP."""
        links = (x for held in self._links.values() for x in held)
        return self._closed_received + sum(x.bytes_received for x in links)

    def is_connected(self, name: str) -> bool:
        """Return whether a usable link to the node exists."""
        return self._link_to(name) is not None

    async def start(self) -> None:
        """Bind the listener and start to dial the seeds."""
        host, port = split_address(self._me.address)
        self._server = await asyncio.start_server(self._accept, host, port, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        me = self._me
        self._me = Identity(me.name, me.domain, me.instance, f"{host}:{port}")
        for seed in self._seeds:
            if seed != self.address:
                self._start_dialer("", seed)
        self.set_targets(self._targets)

    async def close(self) -> None:
        """Stop dialling and accepting, and close all links."""
        if self._server is not None:
            self._server.close()
        tasks = {*self._dialers.values(), *self._tasks}
        tasks |= self._inbox.tasks
        for task in tasks:
            task.cancel()
        for link in [*self._unproved, *(link for held in self._links.values() for link in held)]:
            link.close()
        if tasks:
            await asyncio.wait(tasks, timeout=1.0)

    def set_targets(self, targets: Mapping[str, str]) -> None:
        """Keep links to these nodes (name to address). Links to other nodes stay until they close.

        The host list lags, so a node that is missing from it may still be there.
        """
        self._targets = {name: addr for name, addr in targets.items() if name != self._me.name}
        if self._server is None:
            return
        for (name, addr), task in list(self._dialers.items()):
            if name and self._targets.get(name) != addr:
                task.cancel()
                del self._dialers[name, addr]
        for name, addr in self._targets.items():
            if (name, addr) not in self._dialers:
                self._start_dialer(name, addr)

    def handle(self, kind: str | type, handler: Handler) -> None:
        """Call ``handler(peer, message)`` for each message of a kind or message class.

        The handler is a function or a coroutine function; what it returns answers a request. A
        coroutine runs in its own task, so messages of one link may be handled out of order.
        """
        self._inbox.handlers[kind_of(kind)] = handler

    def send(self, node_name: str, msg: Message) -> bool:
        """Send a message; return False where it was dropped. Delivery is not confirmed."""
        link = self._link_to(node_name)
        return self._send_bytes(link, self._encode(msg)) if link else self._drop("unlinked")

    def broadcast(self, msg: Message) -> int:
        """Send a message to all linked peers; return to how many."""
        data = self._encode(msg)
        links = [self._link_to(name) for name in list(self._links)]
        return sum(self._send_bytes(link, data) for link in links if link)

    async def request(
        self, node_name: str, msg: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send a request and return its answer.

        The error says whether the peer may have seen the request. A late answer is dropped.
        """
        link = self._link_to(node_name)
        if link is None:
            return Err(PeerError("request", node_name, PeerFailure.UNREACHABLE, sent=False))
        req_id, fut = self._pending.add(link, node_name)
        try:
            data = self._encode(msg, request_id=req_id)
            if len(data) > MAX_FRAME_BYTES:
                return Err(PeerError("request", node_name, PeerFailure.TOO_LARGE, sent=False))
            if not self._send_bytes(link, data):
                return Err(PeerError("request", node_name, PeerFailure.UNREACHABLE, sent=False))
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            self.metrics.count("peers.request_timeouts")
            return Err(PeerError("request", node_name, PeerFailure.TIMEOUT, sent=True))
        finally:
            self._pending.remove(req_id)

    def _is_blocked(self, peer: Identity) -> bool:
        return peer.name in self.blocked or peer.domain in self.blocked

    def _link_to(self, name: str) -> Link | None:
        """Return the newest open link, after closing those to a blocked peer."""
        for link in reversed(self._links.get(name, ())):
            if link.peer is not None and self._is_blocked(link.peer):
                link.close()
            if not link.closed.is_set():
                return link
        return None

    def _drop(self, reason: str) -> bool:
        self.metrics.count(f"peers.dropped.{reason}")
        return False

    @staticmethod
    def _encode(msg: Message, request_id: int = 0) -> bytes:
        kind, body = encode_message(msg)
        return encode_frame(Frame(kind, body, request_id))

    def _send_bytes(self, link: Link, data: bytes) -> bool:
        if len(data) > MAX_FRAME_BYTES:
            return self._drop("too_large")
        if not link.write_bytes(data):
            return self._drop("not_reading")
        return True

    def _start_dialer(self, name: str, addr: str) -> None:
        task = asyncio.ensure_future(self._keep_linked(name, addr))
        self._dialers[name, addr] = task

    async def _keep_linked(self, name: str, addr: str) -> None:
        """Dial whenever there is no link, for as long as the target is wanted."""
        backoff = Backoff(self._rng)
        while True:
            link = self._link_to(name or self._name_at(addr))
            if link is None and name not in self.blocked:
                link = await self._dial(name, addr)
            if link is not None:
                backoff.reset()
                await link.closed.wait()
            await asyncio.sleep(backoff.next_delay())

    def _name_at(self, addr: str) -> str:
        found = (peer.name for peer in self.peers if peer.address == addr)
        return next(found, "")

    async def _dial(self, name: str, addr: str) -> Link | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*split_address(addr))
        except (OSError, TimeoutError, ValueError) as exc:
            self.metrics.count("peers.dial_failed")
            log.debug("peer not reached", step="dial", peer=name or addr, detail=str(exc))
            return None
        link = Link(reader, writer)
        if not await self._admit(link, dialing=True, expected=name):
            return None
        self._start_task(self._serve(link))
        return link

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(reader, writer)
        if len(self._unproved) >= MAX_HANDSHAKES:
            self._drop("handshakes")
            link.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if await self._admit(link, dialing=False, expected=""):
                await self._serve(link)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            link.close()

    async def _admit(self, link: Link, *, dialing: bool, expected: str) -> bool:
        """Shake hands and add the link; close it where it is not acceptable."""
        self._unproved.add(link)
        detail = ""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                got = await link.shake_hands(self._me, self._keys, dialing=dialing)
            match got:
                case Ok(peer) if self._is_blocked(peer):
                    detail = "blocked"
                case Ok(peer) if expected and peer.name != expected:
                    detail = f"expected {expected}, met {peer.name}"
                case Ok(peer):
                    self._add_link(link, peer)
                    return True
                case Err(error):
                    self._note_frame_error(link, error)
        except TimeoutError:
            detail = "timeout"
        finally:
            self._unproved.discard(link)
            if not detail and link.peer is None:
                link.close()
        if detail:
            self.metrics.count("peers.handshake_refused")
            log.info("link refused", step="handshake", peer=link.remote, detail=detail)
        link.close()
        return False

    def _add_link(self, link: Link, peer: Identity) -> None:
        held = self._links.setdefault(peer.name, [])
        for other in held:
            # The peer has restarted: what is sent to its former instance reaches nobody.
            if other.peer is not None and other.peer.instance != peer.instance:
                other.close()
        held.append(link)

    async def _serve(self, link: Link) -> None:
        """Read frames until the link ends; a fault on this link ends only this link."""
        assert link.peer is not None
        peer = link.peer
        try:
            while not link.closed.is_set():
                got = await link.read()
                if isinstance(got, Err):
                    self._note_frame_error(link, got.err_value)
                    return
                if got.ok_value is None:
                    return
                if self._is_blocked(peer):
                    self._drop("blocked")
                    return
                self._inbox.take(link, peer, got.ok_value)
        except Exception as exc:
            log.error("link failed", step="serve", peer=peer.name, exc_info=exc)
        finally:
            self._forget(link, peer)

    def _forget(self, link: Link, peer: Identity) -> None:
        link.close()
        self._closed_sent += link.bytes_sent
        self._closed_received += link.bytes_received
        self._pending.lose(link)
        self._inbox.forget(link)
        held = self._links.get(peer.name, [])
        if link in held:
            held.remove(link)
        if not held:
            self._links.pop(peer.name, None)

    def _note_frame_error(self, link: Link, error: object) -> None:
        name = link.peer.name if link.peer else link.remote
        match error:
            case VersionMismatch(version=version):
                self.metrics.count("peers.version_refused")
                log.warning("protocol version refused", step="read", peer=name, version=version)
            case FrameTooLarge(size_bytes=size):
                self.metrics.count("peers.frame_too_large")
                log.warning("frame too large", step="read", peer=name, size_bytes=size)
            case HandshakeError(detail=detail):
                self.metrics.count("peers.handshake_refused")
                log.info("link refused", step="handshake", peer=name, detail=detail)
            case _:
                self.metrics.count("peers.malformed")
                log.warning("malformed frame", step="read", peer=name, error=str(error)[:200])

    def _start_task(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
