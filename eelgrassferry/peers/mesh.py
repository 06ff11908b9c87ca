"""Links between a node and its peers."""

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
from .frame_dispatcher import FrameDispatcher, Handler
from .identity import Identity
from .link import Link
from .message import Message, encode_message, kind_of
from .requests import PendingRequests

__all__ = ["PeerMesh"]

CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 3.0
# Maximum number of links that are not authenticated yet; all 330 nodes of a fleet may dial at the
# same time.
MAX_HANDSHAKES = 512

log = structlog.get_logger()


class PeerMesh:
    """Links to the target nodes and seeds, over which messages and requests are exchanged.

    A link is used in both directions, regardless of which side dialed it. If both sides dial at
    the same time, both links stay open and the newest is used. ``blocked`` contains names of nodes
    and failure domains with which this node exchanges no messages.

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
        self._closed_links_bytes_sent = 0
        self._closed_links_bytes_received = 0
        self._identity = Identity(name, domain, instance, listen)
        self._keys = keys
        self._seeds = tuple(seeds)
        self._rng = rng or Random()
        self._links: dict[str, list[Link]] = {}
        self._unauthenticated: set[Link] = set()
        self._targets: dict[str, str] = {}
        self._dialers: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._pending = PendingRequests()
        self._dispatcher = FrameDispatcher(self._pending, self.metrics)
        self._server: asyncio.Server | None = None

    @property
    def identity(self) -> Identity:
        """Identity of this node; contains the bound address after ``start``."""
        return self._identity

    @property
    def address(self) -> str:
        """Listening address as ``ip:port``; ``start`` replaces port 0 by the bound port."""
        return self._identity.address

    @property
    def peers(self) -> tuple[Identity, ...]:
        """Identities of the peers with an open link, sorted by name."""
        names = sorted(name for name in self._links if self._link_to(name))
        return tuple(peer for name in names if (peer := self._links[name][-1].peer))

    @property
    def bytes_sent(self) -> int:
        """Total bytes sent over all links, excluding TCP headers."""
        return self._closed_links_bytes_sent + sum(
            link.bytes_sent for links in self._links.values() for link in links
        )

    @property
    def bytes_received(self) -> int:
        """Total bytes received over all links, excluding TCP headers."""
        open_links = (link for links in self._links.values() for link in links)
        return self._closed_links_bytes_received + sum(link.bytes_received for link in open_links)

    def is_connected(self, name: str) -> bool:
        """Return whether there is an open link to the node."""
        return self._link_to(name) is not None

    async def start(self) -> None:
        """Bind the listener and start dialing the seeds and targets."""
        host, port = split_address(self._identity.address)
        self._server = await asyncio.start_server(self._accept, host, port, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        identity = self._identity
        self._identity = Identity(
            identity.name, identity.domain, identity.instance, f"{host}:{port}"
        )
        for seed in self._seeds:
            if seed != self.address:
                self._start_dialer("", seed)
        self.set_targets(self._targets)

    async def close(self) -> None:
        """Stop dialing and accepting connections and close all links."""
        if self._server is not None:
            self._server.close()
        tasks = {*self._dialers.values(), *self._tasks}
        tasks |= self._dispatcher.tasks
        for task in tasks:
            task.cancel()
        for link in [
            *self._unauthenticated,
            *(link for links in self._links.values() for link in links),
        ]:
            link.close()
        if tasks:
            await asyncio.wait(tasks, timeout=1.0)

    def set_targets(self, targets: Mapping[str, str]) -> None:
        """Set the nodes to which links are maintained, as a mapping of name to address.

        Links to other nodes stay open until they fail: the host list lags, so a node that is
        missing from it may still be running.
        """
        self._targets = {
            name: addr for name, addr in targets.items() if name != self._identity.name
        }
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
        """Register ``handler(peer, message)`` for a message kind or message class.

        The handler is a function or a coroutine function. Its return value is the answer if the
        message is a request. Coroutines run in tasks of their own, so messages of one link may be
        handled out of order.
        """
        self._dispatcher.handlers[kind_of(kind)] = handler

    def send(self, node_name: str, msg: Message) -> bool:
        """Send a message without confirmation of delivery; return False if it was dropped."""
        link = self._link_to(node_name)
        return self._send_bytes(link, self._encode(msg)) if link else self._count_drop("unlinked")

    def broadcast(self, msg: Message) -> int:
        """Send a message to all linked peers and return the number of peers it was sent to."""
        data = self._encode(msg)
        links = [self._link_to(name) for name in list(self._links)]
        return sum(self._send_bytes(link, data) for link in links if link)

    async def request(
        self, node_name: str, msg: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send a request and return its answer.

        The ``sent`` field of the error is True if the peer may have received the request. An
        answer that arrives after the timeout is dropped.
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
        """Return the newest open link to a node, or None; close its links if it is blocked."""
        for link in reversed(self._links.get(name, ())):
            if link.peer is not None and self._is_blocked(link.peer):
                link.close()
            if not link.closed.is_set():
                return link
        return None

    def _count_drop(self, reason: str) -> bool:
        self.metrics.count(f"peers.dropped.{reason}")
        return False

    @staticmethod
    def _encode(msg: Message, request_id: int = 0) -> bytes:
        kind, body = encode_message(msg)
        return encode_frame(Frame(kind, body, request_id))

    def _send_bytes(self, link: Link, data: bytes) -> bool:
        if len(data) > MAX_FRAME_BYTES:
            return self._count_drop("too_large")
        if not link.write_bytes(data):
            return self._count_drop("not_reading")
        return True

    def _start_dialer(self, name: str, addr: str) -> None:
        task = asyncio.ensure_future(self._keep_linked(name, addr))
        self._dialers[name, addr] = task

    async def _keep_linked(self, name: str, addr: str) -> None:
        """Dial an address whenever there is no link to its node, until cancelled."""
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
        if not await self._authenticate(link, dialing=True, expected=name):
            return None
        self._start_task(self._read_frames(link))
        return link

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(reader, writer)
        if len(self._unauthenticated) >= MAX_HANDSHAKES:
            self._count_drop("handshakes")
            link.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if await self._authenticate(link, dialing=False, expected=""):
                await self._read_frames(link)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            link.close()

    async def _authenticate(self, link: Link, *, dialing: bool, expected: str) -> bool:
        """Authenticate a link and add it; close it and return False if it is refused."""
        self._unauthenticated.add(link)
        detail = ""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                result = await link.perform_handshake(self._identity, self._keys, dialing=dialing)
            match result:
                case Ok(peer) if self._is_blocked(peer):
                    detail = "blocked"
                case Ok(peer) if expected and peer.name != expected:
                    detail = f"expected node {expected}, met {peer.name}"
                case Ok(peer):
                    self._add_link(link, peer)
                    return True
                case Err(error):
                    self._report_link_error(link, error)
        except TimeoutError:
            detail = "timeout"
        finally:
            self._unauthenticated.discard(link)
            if not detail and link.peer is None:
                link.close()
        if detail:
            self.metrics.count("peers.handshake_refused")
            log.info("link refused", step="handshake", peer=link.remote_address, detail=detail)
        link.close()
        return False

    def _add_link(self, link: Link, peer: Identity) -> None:
        links = self._links.setdefault(peer.name, [])
        for other in links:
            # The peer has restarted, so messages to its previous instance would be lost.
            if other.peer is not None and other.peer.instance != peer.instance:
                other.close()
        links.append(link)

    async def _read_frames(self, link: Link) -> None:
        """Read frames until the link ends. An error closes only this link."""
        assert link.peer is not None
        peer = link.peer
        try:
            while not link.closed.is_set():
                result = await link.read()
                if isinstance(result, Err):
                    self._report_link_error(link, result.err_value)
                    return
                if result.ok_value is None:
                    return
                if self._is_blocked(peer):
                    self._count_drop("blocked")
                    return
                self._dispatcher.on_frame(link, peer, result.ok_value)
        except Exception as exc:
            log.error("link failed", step="serve", peer=peer.name, exc_info=exc)
        finally:
            self._remove_link(link, peer)

    def _remove_link(self, link: Link, peer: Identity) -> None:
        link.close()
        self._closed_links_bytes_sent += link.bytes_sent
        self._closed_links_bytes_received += link.bytes_received
        self._pending.fail_link(link)
        self._dispatcher.remove_link(link)
        links = self._links.get(peer.name, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links.pop(peer.name, None)

    def _report_link_error(self, link: Link, error: object) -> None:
        name = link.peer.name if link.peer else link.remote_address
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
