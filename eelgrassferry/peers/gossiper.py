"""Connects the gossip state and the membership with the links."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import structlog

from .gossip_limits import GossipLimits
from .gossip_messages import Delta, Digest
from .gossip_state import Applied, Change, GossipState
from .identity import Identity
from .membership import Membership, heartbeat_interval_s
from .mesh import PeerMesh
from .node_entry import HostEntry, NodeEntry, NodeState, make_incarnation
from .topics import Beat, ConfigRevision, MemberValue, Topic, TopicValue, topic_of

__all__ = ["Gossiper"]

NODES_PER_ROUND_S = 220.0

log = structlog.get_logger()

Callback = Callable[[str, Any], None]


class Gossiper:
    """Runs a round of gossip at a fixed interval and keeps the membership up to date.

    It is created after the mesh has started, since the own entry holds the mesh's address. Each
    value class has one topic; ``on_change`` is called with the node's name for each newer value.

    >>> gossiper = Gossiper(mesh)
    >>> gossiper.on_change(EngineLoads, lambda node, loads: view.merge(node, loads))
    >>> await gossiper.start()
    >>> gossiper.publish(EngineLoads((EngineLoad("e1", 3, 0, 9000, 20),)))
    """

    def __init__(
        self,
        mesh: PeerMesh,
        *,
        limits: GossipLimits | None = None,
        rng: Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        me = mesh.identity
        self.limits = limits or GossipLimits()
        own = make_incarnation(me.instance)
        self.membership = Membership(NodeEntry(me.name, me.instance, own, 0, me.domain, me.address))
        self.state = GossipState(me.name, me.domain, own, rng or Random(), self.limits)
        self._mesh = mesh
        self._clock = clock
        self._callbacks: dict[Topic, list[Callback]] = {}
        self._linked: frozenset[str] = frozenset()
        self._targets: dict[str, str] = {}
        self._live = 1
        self._said_s = 0.0
        self._task: asyncio.Task[None] | None = None
        mesh.handle(Delta, self._take_delta)
        mesh.handle(Digest, self._take_digest)

    @property
    def round_s(self) -> float:
        """The time between two rounds; it grows with the fleet, so that messages are shared.

        At 330 nodes and two rounds a second, headers took more than a third of all bytes.
        """
        return max(self.limits.round_s, self._live / NODES_PER_ROUND_S)

    async def start(self) -> None:
        """Publish this node's entry and start the rounds."""
        self.announce()
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop the rounds."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def set_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Take a new host list; its addresses are those of the peer listeners."""
        self.membership.merge_hosts(hosts, self._clock())
        self._sync_links()

    def set_draining(self, draining: bool) -> None:
        """Tell the peers at once that this node stops taking work, or takes it again."""
        self.membership.set_own(draining=draining)
        self.announce()
        self.run_round()

    def set_revision(self, revision: int) -> None:
        """Tell the peers at once which configuration revision this node has in force."""
        self.membership.set_own(revision=revision)
        self.publish(ConfigRevision(revision))
        self.run_round()

    def publish(self, value: TopicValue) -> None:
        """Set this node's own value of a topic; it is sent with the next round."""
        now = self._clock()
        self.state.publish(value, now)
        if not topic_of(value).in_domain:
            self._said_s = now
        self.membership.set_own(counter=self.state.version[1])

    def values(self, kind: type) -> dict[str, Any]:
        """Return the values of one value class by node, without those of gone nodes."""
        gone = {e.name for e in self.membership.entries() if e.state is NodeState.GONE}
        return {name: v for name, v in self.state.values(kind).items() if name not in gone}

    def on_change(self, kind: type, callback: Callback) -> None:
        """Call ``callback(node, value)`` for each newer value of a value class."""
        self._callbacks.setdefault(topic_of(kind), []).append(callback)

    def run_round(self) -> None:
        """Note links that came up or went down, and send what is due."""
        now = self._clock()
        self._sync_links()
        if now - self._said_s >= heartbeat_interval_s(self._live):
            self.publish(Beat())
        for out in self.state.next_round(now):
            self._mesh.send(out.target, out.message)

    async def _run(self) -> None:
        while True:
            try:
                self.run_round()
            except Exception as exc:
                log.error("gossip round failed", step="gossip", peer="", exc_info=exc)
            await asyncio.sleep(self.round_s)

    def announce(self) -> None:
        """Publish this node's own membership entry."""
        own = self.membership.own
        self.publish(MemberValue(own.instance, own.domain, own.address, own.draining))

    def _sync_links(self) -> None:
        now = self._clock()
        members, peers = self.membership, self._mesh.peers
        linked = frozenset(peer.name for peer in peers)
        members.forget_old(now)
        members.set_linked(linked, now)
        gone: set[str] = set()
        domains = {peer.name: peer.domain for peer in peers}
        targets: dict[str, str] = {}
        self._live = 0
        for entry in members.entries():
            self._live += entry.state is NodeState.LIVE
            if entry.name == members.own.name:
                continue
            if entry.state is NodeState.GONE and entry.name not in linked:
                gone.add(entry.name)
                continue
            domains[entry.name] = entry.domain
            if entry.address:
                targets[entry.name] = entry.address
        self.state.forget(gone)
        self.state.set_peers(domains, linked)
        for name in linked - self._linked:
            self.state.greet(name)
        self._linked = linked
        if targets != self._targets:
            self._targets = targets
            self._mesh.set_targets(targets)

    def _take_delta(self, peer: Identity, delta: Delta) -> None:
        now = self._clock()
        applied = self.state.apply(peer.name, delta, now)
        if applied.malformed:
            self._mesh.metrics.count("peers.malformed", applied.malformed)
        for change in applied.changes:
            self._note(change, now)
        self._answer_contest(applied, now)
        if applied.reply is not None:
            self._mesh.send(peer.name, applied.reply)

    def _take_digest(self, peer: Identity, digest: Digest) -> None:
        reply = self.state.answer_digest(digest)
        if reply is not None:
            self._mesh.send(peer.name, reply)

    def _note(self, change: Change, now: float) -> None:
        node, version = change.node, (change.incarnation, change.counter)
        match change.value:
            case MemberValue(instance, domain, address, draining):
                entry = NodeEntry(node, instance, *version, domain, address, draining)
                self.membership.merge(entry, now)
                held = self.state.value(node, ConfigRevision)
                if held is not None:
                    self.membership.hear(node, *version, now, held.revision)
            case ConfigRevision(revision):
                self.membership.hear(node, *version, now, revision)
            case _:
                self.membership.hear(node, *version, now)
        for callback in self._callbacks.get(topic_of(change.value), ()):
            callback(node, change.value)

    def _answer_contest(self, applied: Applied, now: float) -> None:
        for change in applied.contested:
            if self.membership.contest(change.incarnation, change.counter):
                self.state.raise_incarnation(self.membership.own.incarnation, now)
                self.membership.set_own(counter=self.state.version[1])
        if applied.contested and self.membership.superseded:
            log.error("another instance has this node's name", step="gossip", peer="")
