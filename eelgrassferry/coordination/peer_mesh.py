"""Links between nodes: status to the coordinator, views from it."""

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine

import structlog
from result import Err

from ..dispatch import NO_LOAD, UpstreamLoad
from ..fleet import EntrySettings
from ..http import split_address
from ..objects import MonitoredStore, ObjectFeed
from ..ordering import NodeStatus
from ..peers.frame import Frame, encode_frame
from .connect_peer import ask_process, connect_peer
from .leadership import Leadership
from .messages import (
    CHANGES,
    COPY,
    PROMISE_S,
    PULL,
    RESIGN,
    STATUS,
    VIEW,
    WHO,
    FleetView,
    ViewReply,
    decode_status,
    decode_view,
    encode_status,
    encode_view,
)
from .node_registry import NodeRegistry
from .object_relay import ObjectRelay
from .peer_link import PeerLink

__all__ = ["PeerMesh"]

log = structlog.get_logger()

# Status and loads are exchanged this often, in seconds. An engine's queue changes little in that
# time: a prompt takes 20 to 200 ms to read.
EXCHANGE_S = 0.1
# Statuses that a coordinator is to handle a second; one takes about 0.1 ms.
STATUSES_PER_S = 500.0
# Longer pauses would let a live coordinator look silent.
MAX_EXCHANGE_S = 0.3
# Nodes that may ask the store at full pace while no coordinator does so for them. More of them ask
# less often, so that the store's calls do not grow with the nodes.
QUICK_NODES = 8
# Without news, a frame is sent this often, in seconds, so that a silent link is noticed.
HEARTBEAT_S = 0.5
# A coordinator that was not heard for this long is looked for again, in seconds.
SILENT_S = 1.2
# A coordinator that was not heard for this long is a reason to look whether this node is cut off,
# in seconds. Views come every ``EXCHANGE_S``.
SUSPECT_AFTER_S = 0.5
# How long and how often the address of a lost coordinator is asked which process answers there, in
# seconds. A process that was killed is back within about two seconds.
PROBE_FOR_S = 4.0
PROBE_EVERY_S = 0.15
# Views come every ``EXCHANGE_S``, and before each order. A link whose last view is older than this
# may have missed one, in seconds.
RECENT_VIEW_S = 0.35
# Pause between two tries of the store for a coordinator that does not reach it, in seconds.
TRY_STORE_EVERY_S = 0.4


class PeerMesh:
    """Links between nodes. ``make_status`` is asked for this node's status, ``on_view`` is told
    what the coordinator says.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: MonitoredStore,
        feeds: list[ObjectFeed],
        clock: Callable[[], float],
        make_status: Callable[[], NodeStatus],
        on_view: Callable[[FleetView, dict[str, UpstreamLoad]], None],
    ) -> None:
        self.leadership: Leadership | None = None
        self._settings = settings
        # New for each process, so that a peer can tell a restarted node from the one before.
        self._process = secrets.token_hex(8)
        self._store = store
        self._clock = clock
        self._make_status = make_status
        self._on_view = on_view
        self.registry = NodeRegistry(settings, store, clock, self._member_names)
        for feed in (*feeds, self.registry.feed):
            feed.interval_factor = self._stretch
        self._relay = ObjectRelay(
            [*feeds, self.registry.feed],
            clock,
            self._send_members,
            lambda: self._leader if self.has_leader else None,
            self.registry.peer_addresses,
        )
        self._members: set[PeerLink] = set()
        self._links: set[PeerLink] = set()
        self._server: asyncio.Server | None = None
        self._leader: PeerLink | None = None
        self._leader_name = ""
        self._leader_holder = ""
        self._leader_process = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._heard_at = float("-inf")
        self._linked_at = float("-inf")
        self._epoch = 0
        self._own_sent: dict[str, UpstreamLoad] = {}
        self._totals: dict[str, UpstreamLoad] = {}
        self._seen_at = 0.0
        self._promise_ends = float("-inf")
        self._promised: dict[str, float] = {}
        self._said: tuple[NodeStatus, bool] | None = None
        self._store_lost = False
        self._store_reached = False
        self._sent_at = float("-inf")
        self._soon: asyncio.TimerHandle | None = None

    @property
    def has_leader(self) -> bool:
        """Whether another node is heard as the coordinator."""
        return self._leader is not None and self._clock() - self._heard_at < SILENT_S

    @property
    def may_take_lease(self) -> bool:
        """Whether this node hears no coordinator and has promised nothing to one."""
        return not self.has_leader and self._clock() >= self._promise_ends

    @property
    def promised_until(self) -> float:
        """The time until which no other registered node takes the lease, by its own promise."""
        others = self.registry.others
        return min((self._promised.get(name, 0.0) for name in others), default=0.0)

    @property
    def misses_peers(self) -> bool:
        """Whether contact with other nodes was lost: the coordinator is silent, or more than half
        of the coordinator's nodes are.
        """
        if self.leadership is None or not self.registry.others:
            return False
        if self.leadership.term() is None:
            return self._clock() - self._heard_at > SUSPECT_AFTER_S
        return 2 * len(self._members) < len(self.registry.others)

    async def listen(self) -> None:
        """Accept links from other nodes."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PeerLink(self._take_frame, self._drop_member, self._links.add),
            *split_address(self._settings.peer_listen),
        )

    def close(self) -> None:
        """Close all links and accept no more."""
        if self._server is not None:
            self._server.close()
        for link in (*self._links, *filter(None, [self._leader])):
            link.close()
        for task in self._tasks:
            task.cancel()

    async def run(self) -> None:
        """Register, follow the other nodes and exchange status, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.registry.run())
            group.create_task(self._relay.run())
            group.create_task(self._exchange())

    def status_soon(self) -> None:
        """Send the status in this loop step's end, because a request waits."""
        if self._soon is None:
            self._soon = asyncio.get_running_loop().call_later(0.0, self._send_status, True)

    def publish(self, view: FleetView) -> None:
        """Send a view to all nodes, this one included."""
        now = self._clock()
        self._send_members(VIEW, encode_view(view, now))
        self._apply(view)

    def _send_members(self, kind: str, body: object) -> None:
        """Send one frame to all nodes on this coordinator's links, encoded once."""
        if not self._members:
            return
        data = encode_frame(Frame(kind, body))
        for link in list(self._members):
            link.send_bytes(data)

    def announce_end(self, instance: str) -> None:
        """Tell all nodes that a lease of this node's has ended and it gives no more orders."""
        for link in list(self._members):
            link.send(RESIGN, instance)
            link.close_gently()
        self._members.clear()

    # Coordinator's side

    def _member_names(self) -> set[str] | None:
        if self.leadership is None or self.leadership.term() is None:
            return None
        return {link.peer for link in self._members}

    def _drop_member(self, link: PeerLink) -> None:
        self._members.discard(link)
        self._links.discard(link)
        if link.peer and self.leadership is not None and self.leadership.coordinator is not None:
            self.leadership.coordinator.forget_node(link.peer)
            log.info("node lost", step="peer_link", peer=link.peer)

    def _take_frame(self, link: PeerLink, frame: Frame) -> None:
        if frame.kind == STATUS:
            self._take_status(link, frame)
        elif frame.kind == PULL:
            self._relay.answer_pull(link, frame.body)
        elif frame.kind == WHO:
            link.send(WHO, self._process)

    def _take_status(self, link: PeerLink, frame: Frame) -> None:
        decoded = decode_status(frame.body)
        if isinstance(decoded, Err):
            log.warning("status not used", step="decode_status", detail=decoded.err_value.detail)
            return
        leadership = self.leadership
        if leadership is None or leadership.term() is None:
            # The sender takes this node for the coordinator; the end of the link tells it.
            link.close()
            return
        status, reply = decoded.ok_value
        link.peer = status.node
        if reply.seen_at > 0.0:
            self._promised[status.node] = reply.seen_at + PROMISE_S
        if reply.store_reached:
            leadership.lease.note_store_reached()
        if link not in self._members:
            self._members.add(link)
            log.info("node joined", step="peer_link", peer=link.peer)
            view = leadership.complete_view()
            if view is not None:
                link.send(VIEW, encode_view(view, self._clock()))
        leadership.take_status(status)

    # Node's side

    def _stretch(self) -> float:
        """Return the factor by which this node asks the store less often."""
        if self.leadership is not None and self.leadership.term() is not None:
            return 1.0
        return max(1.0, len(self.registry) / QUICK_NODES)

    @property
    def _exchange_s(self) -> float:
        """Time between two exchanges, in seconds: the coordinator handles a bounded number of
        statuses a second, however many nodes there are.
        """
        return min(MAX_EXCHANGE_S, max(EXCHANGE_S, len(self.registry) / STATUSES_PER_S))

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(self._exchange_s)
            leadership = self.leadership
            if leadership is None:
                continue
            if leadership.term() is not None:
                self._leave_leader()
                leadership.publish_loads()
                self._send_status(False)
                continue
            waited_s = self._clock() - max(self._linked_at, self._heard_at)
            if not self.has_leader and (self._leader is None or waited_s > SILENT_S):
                await self._find_leader(leadership)
            self._send_status(False)

    def _send_status(self, waiting: bool) -> None:
        if waiting:
            self._soon = None
        leadership = self.leadership
        if leadership is None:
            return
        leads = leadership.term() is not None
        if not leads and self._leader is None:
            return
        status = self._make_status()
        self._own_sent = dict(status.loads)
        if leads:
            leadership.take_status(status)
            return
        assert self._leader is not None
        now = self._clock()
        said = (status, self._store_reached)
        if said == self._said and now - self._sent_at < HEARTBEAT_S:
            return
        self._said, self._sent_at = said, now
        if self._seen_at > 0.0:
            self._promise_ends = self._heard_at + PROMISE_S
        reply = ViewReply(self._seen_at, self._store_reached)
        self._leader.send(STATUS, encode_status(status, reply))

    async def _find_leader(self, leadership: Leadership) -> None:
        self._leave_leader()
        name = leadership.lease.holder.partition(":")[0]
        address = self.registry.address(name)
        if not address or name == self._settings.name or leadership.lease.holder_is_gone:
            return
        link = PeerLink(self._take_view, self._note_leader_lost)
        if not await connect_peer(link, address):
            return
        self._leader, self._leader_name = link, name
        self._leader_holder, self._leader_process = leadership.lease.holder, ""
        link.send(WHO, None)
        # A frozen process still accepts connections, so only a view shows that it coordinates.
        self._linked_at = self._clock()
        self._said = None
        self._store_lost = self._store_reached = False
        self._seen_at = 0.0
        self._relay.follow(link)
        log.info("coordinator found", step="peer_link", peer=name, address=address)

    def _leave_leader(self) -> None:
        self._relay.stop_following()
        self._heard_at = float("-inf")
        if self._leader is not None:
            link, self._leader = self._leader, None
            link.close()

    def _note_leader_lost(self, link: PeerLink) -> None:
        if link is not self._leader:
            return
        log.warning("coordinator lost", step="peer_link", peer=self._leader_name)
        up_to_date = self._clock() - self._heard_at < RECENT_VIEW_S
        self._leader = None
        self._leave_leader()
        self._keep(
            self._probe(self._leader_name, self._leader_holder, self._leader_process, up_to_date)
        )

    async def _probe(self, name: str, holder: str, process: str, up_to_date: bool) -> None:
        """Find out whether a coordinator's process has ended: another one answers in its place.

        A refused connection proves nothing, because a partition may refuse connections to a
        process that goes on giving orders.
        """
        until = self._clock() + PROBE_FOR_S
        while process and self._clock() < until and not self.has_leader:
            answer = await ask_process(self.registry.address(name))
            if answer == process:
                return
            if answer and self.leadership is not None:
                log.info("coordinator's process has ended", step="probe", peer=name, holder=holder)
                self._promise_ends = float("-inf")
                self.leadership.note_gone(holder, up_to_date)
                return
            await asyncio.sleep(PROBE_EVERY_S)

    def _follow_store(self, lost: bool) -> None:
        """Watch the store itself while the coordinator does not reach it, and tell whether this
        node does; follow the coordinator's changes again afterwards.
        """
        if lost == self._store_lost:
            return
        self._store_lost, self._store_reached = lost, False
        if lost:
            self._relay.stop_following()
            self._keep(self._try_store())
        elif self._leader is not None:
            self._relay.follow(self._leader)

    async def _try_store(self) -> None:
        # Nodes begin at different times; the first that reaches the store is enough.
        await asyncio.sleep(random.uniform(0.0, TRY_STORE_EVERY_S * (self._stretch() - 1.0)))
        while self._store_lost and not self._store_reached and self.has_leader:
            read = await self._store.get(self.registry.own_key)
            if not isinstance(read, Err):
                self._store_reached = True
                self._send_status(False)
            await asyncio.sleep(TRY_STORE_EVERY_S * self._stretch())

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        """Run some work beside and keep it until it is done."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_view(self, link: PeerLink, frame: Frame) -> None:
        if link is not self._leader:
            return
        if frame.kind == WHO:
            self._leader_process = str(frame.body)
            return
        if frame.kind == RESIGN:
            log.info("coordinator resigned", step="peer_link", peer=self._leader_name)
            self._leave_leader()
            self._promise_ends = float("-inf")
            if self.leadership is not None:
                self.leadership.note_gone(str(frame.body), up_to_date=True)
            return
        if frame.kind == CHANGES:
            self._relay.take_changes(link, frame)
        if frame.kind == COPY:
            self._relay.take_leader_copy(frame)
        if frame.kind == VIEW:
            self._use_view(frame)

    def _use_view(self, frame: Frame) -> None:
        decoded = decode_view(frame.body, self._clock())
        if isinstance(decoded, Err):
            log.warning("view not used", step="decode_view", detail=decoded.err_value.detail)
            # The views after it name changes only. A new link begins with a complete view.
            if self._leader is not None:
                self._leader.close()
            return
        self._heard_at = self._clock()
        self._seen_at = decoded.ok_value.sent_at
        self._follow_store(decoded.ok_value.store_lost)
        if self.leadership is not None:
            self.leadership.inherit(decoded.ok_value)
        self._apply(decoded.ok_value)

    def _apply(self, view: FleetView) -> None:
        if view.epoch < self._epoch:
            return
        if view.complete or view.epoch > self._epoch:
            self._totals.clear()
        self._epoch = view.epoch
        self._totals.update(view.loads)
        others = {
            instance: load.plus(self._own_sent.get(instance, NO_LOAD), sign=-1.0)
            for instance, load in self._totals.items()
        }
        self._on_view(view, others)
