"""Links between nodes that carry statuses to the coordinator and views from it."""

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import replace

import structlog
from result import Err

from ..admission import DoorBudget, DoorLimits
from ..dispatch import (
    NO_LOAD,
    CrashAnalyzer,
    TurnReply,
    TurnRequest,
    UpstreamLoad,
    UpstreamNotices,
)
from ..fleet import EntrySettings
from ..http import Listener, split_address
from ..objects import MonitoredStore, ObjectFeed
from ..ordering import NodeStatus
from ..peers.frame import Frame, encode_frame
from .connect_peer import connect_peer, fetch_process_id
from .leadership import Leadership
from .link_admission import LinkAdmission
from .messages import (
    CHANGES,
    COPY,
    PROMISE_S,
    PULL,
    RESIGN,
    STATUS,
    TURNS,
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
from .quota_exchange import QUOTAS, QuotaExchange
from .succession import Succession
from .turn_codec import (
    decode_turn_replies,
    decode_turn_requests,
    encode_turn_replies,
    encode_turn_requests,
)

__all__ = ["PeerMesh"]

log = structlog.get_logger()

# Time between two exchanges of statuses and loads, in seconds. An engine's queue changes little in
# that time: the prefill of a prompt takes 20 to 200 ms.
EXCHANGE_INTERVAL_S = 0.1
# Largest number of statuses that the coordinator should handle per second; one takes about 0.1 ms.
MAX_STATUSES_PER_S = 500.0
# With longer intervals, a live coordinator would be taken for a silent one.
MAX_EXCHANGE_INTERVAL_S = 0.3
# Largest number of nodes that poll the store at the full rate while no coordinator relays its
# changes. More nodes poll less often, so that the total rate of calls does not grow with them.
FULL_RATE_NODES = 8
# An unchanged status is sent again after this time, in seconds, so that a silent link is detected.
HEARTBEAT_S = 0.5
# A node looks for the coordinator again after this time without a view, in seconds.
LEADER_TIMEOUT_S = 1.2
# After this time without a view, a node checks whether it is isolated, in seconds. Views arrive
# every ``EXCHANGE_INTERVAL_S``.
CONTACT_LOST_AFTER_S = 0.5
# How long and how often a node probes which process answers at the address of a lost coordinator,
# in seconds. A process that was killed is restarted within about two seconds.
PROBE_DURATION_S = 4.0
PROBE_INTERVAL_S = 0.15
# Views arrive every ``EXCHANGE_INTERVAL_S`` and before each order. If the last view on a lost link
# is older than this, in seconds, a later one may have been lost.
MAX_VIEW_AGE_S = 0.35
# For this time after its start or the last contact with a coordinator, in seconds, a node expects a
# coordinator to relay the store's changes and does not watch the store itself.
RELAY_EXPECTED_S = 1.0
# Pause between two checks whether this node reaches the store, in seconds, while the coordinator
# does not reach it.
STORE_CHECK_INTERVAL_S = 0.4


class PeerMesh:
    """Links of this node to the coordinator and, while it is the coordinator, to all other nodes.

    ``make_status`` returns this node's status. ``on_view`` is called with each view of the
    coordinator and with the loads that other nodes cause at each upstream. ``crashes`` contains the
    observations on crashed upstreams to exchange, and ``notices`` what upstreams say of themselves.
    No statuses are exchanged until ``leadership`` is set. ``on_turns`` is called with the
    coordinator's replies to ``request_turns``. ``admission`` limits the links of unidentified
    peers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: MonitoredStore,
        feeds: list[ObjectFeed],
        clock: Callable[[], float],
        make_status: Callable[[], NodeStatus],
        on_view: Callable[[FleetView, dict[str, UpstreamLoad]], None],
        crashes: CrashAnalyzer,
        notices: UpstreamNotices,
        admission: LinkAdmission | None = None,
    ) -> None:
        self.leadership: Leadership | None = None
        self.on_turns: Callable[[list[TurnReply]], None] = lambda _replies: None
        self._settings = settings
        # Different for each process, so that peers can detect that a node was restarted.
        self._process_id = secrets.token_hex(8)
        self._store = store
        self._clock = clock
        self._make_status = make_status
        self._on_view = on_view
        self._crashes = crashes
        self._notices = notices
        self.registry = NodeRegistry(settings, store, clock, self._member_names)
        self.succession = Succession(settings, self.registry)
        for feed in (*feeds, self.registry.feed):
            feed.interval_factor = self._poll_interval_factor
            feed.is_relay_expected = self._is_relay_expected
        self._relay = ObjectRelay(
            [*feeds, self.registry.feed],
            clock,
            self._send_members,
            lambda: self._leader if self.has_leader else None,
            self.registry.peer_addresses,
        )
        self.quotas = QuotaExchange(
            settings.bounds,
            clock,
            self._term_epoch,
            lambda: len(self.registry) if self.registry.is_listed else 0,
        )
        self._members: set[PeerLink] = set()
        self._links: set[PeerLink] = set()
        self._admission = admission or LinkAdmission(
            DoorBudget(DoorLimits()), clock, lambda _cause: None
        )
        self._listener = Listener(self._make_member_link, self._admission.make_room)
        self._leader: PeerLink | None = None
        self._leader_name = ""
        self._leader_holder = ""
        self._leader_process_id = ""
        self._last_holder = ""
        self._leader_gone = False
        self._find_attempts = 0
        self._early_members: set[PeerLink] = set()
        self._copied_versions: dict[PeerLink, dict[str, int]] = {}
        self._last_contact_at = clock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_view_at = float("-inf")
        self._leader_connected_at = float("-inf")
        self._epoch = 0
        self._own_loads: dict[str, UpstreamLoad] = {}
        self._total_loads: dict[str, UpstreamLoad] = {}
        self._last_view_sent_at = 0.0
        self._own_promise_until = float("-inf")
        self._promises: dict[str, float] = {}
        self._last_status_sent: tuple[NodeStatus, bool] | None = None
        self._store_lost = False
        self._store_reached = False
        self._status_sent_at = float("-inf")
        self._status_timer: asyncio.TimerHandle | None = None

    @property
    def has_leader(self) -> bool:
        """Whether another node is the coordinator and its last view is recent."""
        return self._leader is not None and self._clock() - self._last_view_at < LEADER_TIMEOUT_S

    @property
    def may_take_lease(self) -> bool:
        """Whether this node has no contact with a coordinator and no promise to one in force."""
        return not self.has_leader and self._clock() >= self._own_promise_until

    @property
    def promised_until(self) -> float:
        """The time until which all other registered nodes have promised not to take the lease."""
        if not self.registry.is_listed:
            return 0.0
        others = self.registry.others
        return min((self._promises.get(name, 0.0) for name in others), default=0.0)

    @property
    def has_lost_contact(self) -> bool:
        """Whether contact with other nodes is lost.

        This is the case if the coordinator is silent or, on the coordinator itself, if less than
        half of the other registered nodes are linked.
        """
        if self.leadership is None or not self.registry.others:
            return False
        if self.leadership.term() is None:
            return self._clock() - self._last_contact_at > CONTACT_LOST_AFTER_S
        return 2 * len(self._members) < len(self.registry.others)

    async def listen(self) -> None:
        """Accept links from other nodes."""
        self._listener.start(*split_address(self._settings.peer_listen))

    def _make_member_link(self) -> PeerLink:
        return PeerLink(
            self._on_member_frame,
            self._on_member_closed,
            self._on_member_open,
            self._admission.update,
        )

    def _on_member_open(self, link: PeerLink) -> None:
        self._links.add(link)
        self._admission.add(link)

    def close(self) -> None:
        """Close all links and stop accepting new ones."""
        self._listener.close()
        for link in (*self._links, *filter(None, [self._leader])):
            link.close()
        for task in self._tasks:
            task.cancel()

    async def run(self) -> None:
        """Register this node, relay objects and exchange statuses, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.registry.run())
            group.create_task(self._relay.run())
            group.create_task(self._exchange())

    def send_status_soon(self) -> None:
        """Send the status in the next event loop iteration, because a request is waiting."""
        if self._status_timer is None:
            self._status_timer = asyncio.get_running_loop().call_later(0.0, self._send_status, True)

    @property
    def has_coordinator(self) -> bool:
        """Whether this node is the coordinator or in contact with it."""
        return self.has_leader or self._term_leadership is not None

    @property
    def _term_leadership(self) -> Leadership | None:
        """The leadership of this node while it is the coordinator, else None."""
        leadership = self.leadership
        return leadership if leadership is not None and leadership.term() is not None else None

    def _term_epoch(self) -> int | None:
        term = None if self.leadership is None else self.leadership.term()
        return None if term is None else term.epoch

    def request_turns(self, requests: list[TurnRequest]) -> None:
        """Ask the coordinator for turns at upstreams that limit their rate."""
        leadership = self._term_leadership
        if leadership is not None:
            self.on_turns(leadership.book_turns(requests, self._linked_share))
        elif self._leader is not None:
            self._leader.send(TURNS, encode_turn_requests(requests))

    @property
    def _linked_share(self) -> float:
        """Share of the registered nodes that are linked to this coordinator."""
        linked = len(self._members) + 1
        return linked / max(linked, len(self.registry))

    def publish(self, view: FleetView) -> None:
        """Send a view to all other nodes and apply it on this node."""
        now = self._clock()
        self._last_contact_at = now
        previous = self.succession.standby
        standby = self.succession.choose_standby(link.peer for link in self._members)
        if standby != previous:
            log.info("standby chosen", step="choose_standby", peer=standby, previous=previous)
        view = replace(view, standby=standby, versions=self._relay.versions)
        self._send_members(VIEW, encode_view(view, now))
        self._apply_view(view)

    def _send_members(self, kind: str, body: object) -> None:
        """Send one frame, encoded once, to all nodes that are linked to this coordinator."""
        if not self._members:
            return
        data = encode_frame(Frame(kind, body))
        for link in list(self._members):
            link.send_bytes(data)

    def announce_end(self, instance: str) -> None:
        """Notify all nodes that the term of this instance has ended and it sends no more orders."""
        for link in list(self._members):
            link.send(RESIGN, instance)
            link.close_after_flush()
        self._members.clear()
        self._last_contact_at = self._clock()

    # Methods of the coordinator

    def _member_names(self) -> set[str] | None:
        if self._term_leadership is None:
            return None
        return {link.peer for link in self._members}

    def _on_member_closed(self, link: PeerLink) -> None:
        self._members.discard(link)
        self._early_members.discard(link)
        self._copied_versions.pop(link, None)
        self._links.discard(link)
        self.quotas.remove_member(link)
        self._admission.remove(link)
        if link.peer and self.leadership is not None and self.leadership.coordinator is not None:
            self.leadership.coordinator.remove_node(link.peer)
            log.info("node lost", step="peer_link", peer=link.peer)

    def _on_member_frame(self, link: PeerLink, frame: Frame) -> None:
        if frame.kind == STATUS:
            self._on_status(link, frame)
        elif frame.kind == PULL:
            copied = self._relay.on_pull(link, frame.body)
            if copied is not None and link not in self._members:
                prefix, version = copied
                self._copied_versions.setdefault(link, {})[prefix] = version
        elif frame.kind == TURNS:
            self._on_turn_requests(link, frame)
        elif frame.kind == QUOTAS:
            self.quotas.on_member_frame(link, frame)
        elif frame.kind == WHO:
            link.send(WHO, self._process_id)

    def _on_turn_requests(self, link: PeerLink, frame: Frame) -> None:
        decoded, leadership = decode_turn_requests(frame.body), self._term_leadership
        if isinstance(decoded, Err):
            log.warning("request not used", step="decode_turns", detail=decoded.err_value.detail)
        elif leadership is not None:
            replies = leadership.book_turns(decoded.ok_value, self._linked_share)
            link.send(TURNS, encode_turn_replies(replies, self._clock()))

    def _on_status(self, link: PeerLink, frame: Frame) -> None:
        decoded = decode_status(frame.body, self._clock())
        if isinstance(decoded, Err):
            log.warning("status not used", step="decode_status", detail=decoded.err_value.detail)
            return
        status, reply = decoded.ok_value
        link.peer = status.node
        if status.crashes:
            # Also before this node's term begins: the sender does not repeat them on this link.
            self._crashes.merge(status.crashes, self._clock())
        self._notices.merge(status.notices)
        leadership = self.leadership
        if leadership is None or leadership.term() is None:
            if self.succession.is_standby and not self.has_leader:
                # The sender expects this node to coordinate soon.
                self._early_members.add(link)
                return
            # The sender assumes that this node is the coordinator; closing the link corrects that.
            link.close()
            return
        if reply.view_sent_at > 0.0:
            self._promises[status.node] = reply.view_sent_at + PROMISE_S
        if reply.store_reached:
            leadership.lease.on_store_reached()
        if link not in self._members:
            self._add_member(link, leadership)
        self.quotas.record_status(link)
        leadership.update_status(status)

    def _add_member(self, link: PeerLink, leadership: Leadership) -> None:
        """Send a complete view to a node, and all views and changes from now on.

        The changes since the node's copies of the objects are sent as well, because changes are
        relayed to members only.
        """
        self._members.add(link)
        for prefix, version in self._copied_versions.pop(link, {}).items():
            self._relay.send_changes_since(link, prefix, version)
        log.info("node joined", step="peer_link", peer=link.peer)
        view = leadership.complete_view()
        if view is not None:
            view = replace(
                view,
                standby=self.succession.standby,
                holder=leadership.lease.holder,
                versions=self._relay.versions,
            )
            link.send(VIEW, encode_view(view, self._clock()))

    def _add_early_members(self, leadership: Leadership) -> None:
        """Add the nodes that connected before this node became the coordinator.

        A node that had a view without being a member would miss the next orders and yet count
        itself as informed of all.
        """
        early, self._early_members = self._early_members, set()
        for link in early - self._members:
            self._add_member(link, leadership)

    # Methods of all nodes

    def _is_relay_expected(self) -> bool:
        """Return whether a coordinator will probably relay the store's changes soon."""
        if self._store_lost or self.leadership is None or self.leadership.term() is not None:
            return False
        return self._clock() - self._last_contact_at < RELAY_EXPECTED_S

    def _poll_interval_factor(self) -> float:
        """Return the factor by which this node extends its interval between calls to the store."""
        if self._term_leadership is not None:
            return 1.0
        return max(1.0, len(self.registry) / FULL_RATE_NODES)

    @property
    def _exchange_interval_s(self) -> float:
        """Time between two exchanges, in seconds.

        It grows with the number of nodes, which bounds the number of statuses that the coordinator
        has to handle per second.
        """
        return min(
            MAX_EXCHANGE_INTERVAL_S,
            max(EXCHANGE_INTERVAL_S, len(self.registry) / MAX_STATUSES_PER_S),
        )

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(self._exchange_interval_s)
            leadership = self.leadership
            if leadership is None:
                continue
            if leadership.term() is not None:
                self._leave_leader()
                self._add_early_members(leadership)
                leadership.publish_loads()
                self._send_status(False)
                continue
            silent_s = self._clock() - max(self._leader_connected_at, self._last_view_at)
            if not self.has_leader and (self._leader is None or silent_s > LEADER_TIMEOUT_S):
                await self._find_leader(leadership)
            self._send_status(False)

    def _send_status(self, is_urgent: bool) -> None:
        if is_urgent:
            self._status_timer = None
        leadership = self.leadership
        if leadership is None:
            return
        is_leader = leadership.term() is not None
        if not is_leader and self._leader is None:
            return
        status = self._make_status()
        self._own_loads = dict(status.loads)
        if is_leader:
            leadership.update_status(status)
            return
        assert self._leader is not None
        now = self._clock()
        status = replace(
            status, crashes=self._crashes.pop_updates(), notices=self._notices.pop_updates()
        )
        sent_status = (status, self._store_reached)
        if sent_status == self._last_status_sent and now - self._status_sent_at < HEARTBEAT_S:
            return
        self._last_status_sent, self._status_sent_at = sent_status, now
        if self._last_view_sent_at > 0.0:
            self._own_promise_until = self._last_view_at + PROMISE_S
        reply = ViewReply(self._last_view_sent_at, self._store_reached)
        self._leader.send(STATUS, encode_status(status, reply, now))

    async def _find_leader(self, leadership: Leadership) -> None:
        self._leave_leader()
        name = self._next_leader_candidate(leadership)
        address = await self.registry.find_address(name)
        if not address:
            return
        instances = (leadership.lease.holder, self._last_holder)
        holder = next((i for i in instances if i.partition(":")[0] == name), "")
        link = PeerLink(self._on_leader_frame, self._on_leader_closed)
        if not await connect_peer(link, address):
            return
        self._leader, self._leader_name = link, name
        self._leader_holder, self._leader_process_id = holder, ""
        link.send(WHO, None)
        # A frozen process still accepts connections, so only a view proves that it is active.
        self._leader_connected_at = self._clock()
        self._last_status_sent = None
        self._store_lost = self._store_reached = False
        self._last_view_sent_at = 0.0
        self._relay.follow(link)
        self.quotas.follow(link)
        # A new coordinator may lack observations that were sent to the previous one.
        self._crashes.share_all()
        self._notices.share_all()
        log.info("coordinator found", step="peer_link", peer=name, address=address)

    def _next_leader_candidate(self, leadership: Leadership) -> str:
        """Return the node to try next as the coordinator, "" if none is known.

        The last coordinator, unless it has resigned, the standby and the holder of the lease as
        last read are tried in turn. The standby is the first one after the end of the last link,
        which may also have been cut by a partition.
        """
        holder = leadership.lease.holder.partition(":")[0]
        names = [
            self._last_holder.partition(":")[0],
            self.succession.standby,
            "" if leadership.lease.holder_has_ended else holder,
        ]
        if self._leader_gone:
            names[:2] = names[1::-1]
        known = [name for name in dict.fromkeys(names) if name not in ("", self._settings.name)]
        self._find_attempts += 1
        return known[(self._find_attempts - 1) % len(known)] if known else ""

    def _leave_leader(self) -> None:
        self._relay.stop_following()
        self.quotas.stop_following()
        self._last_view_at = float("-inf")
        if self._leader is not None:
            link, self._leader = self._leader, None
            link.close()

    def _record_leader_gone(self) -> None:
        """Leave the coordinator, whose link has ended, and begin to look for its successor."""
        # A node that is not the coordinator closes the link without a view; the search goes on.
        if self._last_view_at > float("-inf"):
            self._leader_gone, self._find_attempts = True, 0
        self._leave_leader()

    def _on_leader_closed(self, link: PeerLink) -> None:
        if link is not self._leader:
            return
        log.warning("coordinator lost", step="peer_link", peer=self._leader_name)
        up_to_date = self._clock() - self._last_view_at < MAX_VIEW_AGE_S
        self._leader = None
        self._record_leader_gone()
        self._start_task(
            self._probe_leader(
                self._leader_name, self._leader_holder, self._leader_process_id, up_to_date
            )
        )

    async def _probe_leader(
        self, name: str, holder: str, process_id: str, up_to_date: bool
    ) -> None:
        """Probe whether the process of a coordinator was replaced by another one and so has ended.

        A refused connection is not taken as proof, because a partition may refuse connections to a
        process that is still sending orders.
        """
        # Other nodes need the proof only if the standby does not take the lease.
        await asyncio.sleep(self.succession.delay_s if self.succession.standby else 0.0)
        deadline = self._clock() + PROBE_DURATION_S
        while process_id and holder and self._clock() < deadline and not self.has_leader:
            answer = await fetch_process_id(self.registry.address(name))
            if answer == process_id:
                return
            if answer and self.leadership is not None:
                log.info("coordinator's process has ended", step="probe", peer=name, holder=holder)
                self._own_promise_until = float("-inf")
                self.leadership.on_coordinator_ended(holder, up_to_date)
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _on_store_state(self, lost: bool) -> None:
        """Handle a change of whether the coordinator has lost the store.

        While it has, this node reads from the store itself and reports whether it reaches it.
        Afterwards this node follows the coordinator's changes again.
        """
        if lost == self._store_lost:
            return
        self._store_lost, self._store_reached = lost, False
        if lost:
            self._relay.stop_following()
            self._start_task(self._check_store())
        elif self._leader is not None:
            self._relay.follow(self._leader)

    async def _check_store(self) -> None:
        # Nodes start at random times, because one node that reaches the store is enough.
        await asyncio.sleep(
            random.uniform(0.0, STORE_CHECK_INTERVAL_S * (self._poll_interval_factor() - 1.0))
        )
        while self._store_lost and not self._store_reached and self.has_leader:
            read = await self._store.get(self.registry.own_key)
            if not isinstance(read, Err):
                self._store_reached = True
                self._send_status(False)
            await asyncio.sleep(STORE_CHECK_INTERVAL_S * self._poll_interval_factor())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a background task and keep a reference to it until it is done."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_leader_frame(self, link: PeerLink, frame: Frame) -> None:
        if link is not self._leader:
            return
        if frame.kind == WHO:
            self._leader_process_id = str(frame.body)
            return
        if frame.kind == RESIGN:
            log.info("coordinator resigned", step="peer_link", peer=self._leader_name)
            self._record_leader_gone()
            self._last_holder = ""
            self._own_promise_until = float("-inf")
            if self.leadership is not None:
                self.leadership.on_coordinator_ended(str(frame.body), up_to_date=True)
            return
        if frame.kind == CHANGES:
            self._relay.on_changes(link, frame)
        if frame.kind == COPY:
            self._relay.on_leader_copy(link, frame)
        if frame.kind == VIEW:
            self._on_view_frame(frame)
        if frame.kind == TURNS:
            self._on_turn_replies(frame)
        if frame.kind == QUOTAS:
            self.quotas.on_leader_frame(frame)

    def _on_turn_replies(self, frame: Frame) -> None:
        decoded = decode_turn_replies(frame.body, self._clock())
        if isinstance(decoded, Err):
            log.warning("turns not used", step="decode_turns", detail=decoded.err_value.detail)
        else:
            self.on_turns(decoded.ok_value)

    def _on_view_frame(self, frame: Frame) -> None:
        decoded = decode_view(frame.body, self._clock())
        if isinstance(decoded, Err):
            log.warning("view not used", step="decode_view", detail=decoded.err_value.detail)
            # Later views contain changes only. A new link starts with a complete view.
            if self._leader is not None:
                self._leader.close()
            return
        self._last_view_at = self._last_contact_at = self._clock()
        self.succession.standby = decoded.ok_value.standby
        self._leader_gone, self._find_attempts = False, 0
        self._leader_holder = decoded.ok_value.holder or self._leader_holder
        self._last_holder = self._leader_holder
        self._last_view_sent_at = decoded.ok_value.sent_at
        self._on_store_state(decoded.ok_value.store_lost)
        if self._leader is not None and not self._store_lost:
            self._relay.request_missing_changes(self._leader, decoded.ok_value.versions)
        if self.leadership is not None:
            self.leadership.record_view(decoded.ok_value)
        self._apply_view(decoded.ok_value)

    def _apply_view(self, view: FleetView) -> None:
        if view.epoch < self._epoch:
            return
        if view.complete or view.epoch > self._epoch:
            self._total_loads.clear()
        self._epoch = view.epoch
        self.quotas.record_view()
        self._total_loads.update(view.loads)
        others = {
            instance: load.plus(self._own_loads.get(instance, NO_LOAD), sign=-1.0)
            for instance, load in self._total_loads.items()
        }
        self._on_view(view, others)
