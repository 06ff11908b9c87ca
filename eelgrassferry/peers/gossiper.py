"""Gossip driver that connects the gossip state and the membership with the peer mesh."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import structlog

from .gossip_messages import Delta, Digest
from .gossip_settings import GossipSettings
from .gossip_state import ApplyResult, Change, GossipState
from .identity import Identity
from .membership import Membership, heartbeat_interval_s
from .mesh import PeerMesh
from .node_entry import HostEntry, NodeEntry, NodeState, make_incarnation
from .topics import ConfigRevision, Heartbeat, MemberValue, Topic, TopicValue, topic_of

__all__ = ["Gossiper"]

# Limits the total number of gossip rounds per second in the fleet.
MAX_FLEET_ROUNDS_PER_S = 220.0

log = structlog.get_logger()

Callback = Callable[[str, Any], None]


class Gossiper:
    """Gossip rounds at a regular interval, which also keep the membership up to date.

    Create it after the mesh has started, because the membership entry of this node contains the
    address of the mesh. Each value class belongs to one topic; callbacks registered with
    ``on_change`` receive the node's name and the value for each newer value.

    >>> gossiper = Gossiper(mesh)
    >>> gossiper.on_change(EngineLoads, lambda node, loads: view.merge(node, loads))
    >>> await gossiper.start()
    >>> gossiper.publish(EngineLoads((EngineLoad("e1", 3, 0, 9000, 20),)))
    """

    def __init__(
        self,
        mesh: PeerMesh,
        *,
        settings: GossipSettings | None = None,
        rng: Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        identity = mesh.identity
        self.settings = settings or GossipSettings()
        incarnation = make_incarnation(identity.instance)
        self.membership = Membership(
            NodeEntry(
                identity.name, identity.instance, incarnation, 0, identity.domain, identity.address
            )
        )
        self.state = GossipState(
            identity.name, identity.domain, incarnation, rng or Random(), self.settings
        )
        self._mesh = mesh
        self._clock = clock
        self._callbacks: dict[Topic, list[Callback]] = {}
        self._linked: frozenset[str] = frozenset()
        self._targets: dict[str, str] = {}
        self._live_count = 1
        self._last_fleet_publish_s = 0.0
        self._task: asyncio.Task[None] | None = None
        mesh.handle(Delta, self._on_delta)
        mesh.handle(Digest, self._on_digest)

    @property
    def round_s(self) -> float:
        """Interval between rounds in seconds.

        It grows with the fleet, so that more entries share a message: at 330 nodes and two rounds
        per second, headers took more than a third of all bytes.
        """
        return max(self.settings.round_s, self._live_count / MAX_FLEET_ROUNDS_PER_S)

    async def start(self) -> None:
        """Publish the membership entry of this node and start the rounds."""
        self.announce()
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop the rounds."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def set_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Merge a host list into the membership; its addresses are those of the peer listeners."""
        self.membership.merge_hosts(hosts, self._clock())
        self._sync_links()

    def set_draining(self, draining: bool) -> None:
        """Publish immediately whether this node is draining, that is, takes no new work."""
        self.membership.set_own(draining=draining)
        self.announce()
        self.run_round()

    def set_revision(self, revision: int) -> None:
        """Publish immediately the configuration revision that this node has in force."""
        self.membership.set_own(revision=revision)
        self.publish(ConfigRevision(revision))
        self.run_round()

    def publish(self, value: TopicValue) -> None:
        """Set this node's value of a topic; it is sent in the next round."""
        now = self._clock()
        self.state.publish(value, now)
        if not topic_of(value).domain_scoped:
            self._last_fleet_publish_s = now
        self.membership.set_own(counter=self.state.version[1])

    def values(self, kind: type) -> dict[str, Any]:
        """Return the values of a value class by node name, except those of gone nodes."""
        gone = {e.name for e in self.membership.entries() if e.state is NodeState.GONE}
        return {name: v for name, v in self.state.values(kind).items() if name not in gone}

    def on_change(self, kind: type, callback: Callback) -> None:
        """Register ``callback(node, value)`` for newer values of a value class."""
        self._callbacks.setdefault(topic_of(kind), []).append(callback)

    def run_round(self) -> None:
        """Update the set of links, publish a heartbeat if one is due and send queued messages."""
        now = self._clock()
        self._sync_links()
        if now - self._last_fleet_publish_s >= heartbeat_interval_s(self._live_count):
            self.publish(Heartbeat())
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
        """Publish the membership entry of this node."""
        own = self.membership.own
        self.publish(MemberValue(own.instance, own.domain, own.address, own.draining))

    def _sync_links(self) -> None:
        now = self._clock()
        members, peers = self.membership, self._mesh.peers
        linked = frozenset(peer.name for peer in peers)
        members.remove_expired(now)
        members.set_linked(linked, now)
        gone: set[str] = set()
        domains = {peer.name: peer.domain for peer in peers}
        targets: dict[str, str] = {}
        self._live_count = 0
        for entry in members.entries():
            self._live_count += entry.state is NodeState.LIVE
            if entry.name == members.own.name:
                continue
            if entry.state is NodeState.GONE and entry.name not in linked:
                gone.add(entry.name)
                continue
            domains[entry.name] = entry.domain
            if entry.address:
                targets[entry.name] = entry.address
        self.state.remove_nodes(gone)
        self.state.set_peers(domains, linked)
        for name in linked - self._linked:
            self.state.queue_own_values(name)
        self._linked = linked
        if targets != self._targets:
            self._targets = targets
            self._mesh.set_targets(targets)

    def _on_delta(self, peer: Identity, delta: Delta) -> None:
        now = self._clock()
        applied = self.state.apply(peer.name, delta, now)
        if applied.malformed:
            self._mesh.metrics.count("peers.malformed", applied.malformed)
        for change in applied.changes:
            self._apply_change(change, now)
        self._resolve_conflicts(applied, now)
        if applied.reply is not None:
            self._mesh.send(peer.name, applied.reply)

    def _on_digest(self, peer: Identity, digest: Digest) -> None:
        reply = self.state.reply_to_digest(digest)
        if reply is not None:
            self._mesh.send(peer.name, reply)

    def _apply_change(self, change: Change, now: float) -> None:
        node, version = change.node, (change.incarnation, change.counter)
        match change.value:
            case MemberValue(instance, domain, address, draining):
                entry = NodeEntry(node, instance, *version, domain, address, draining)
                self.membership.merge(entry, now)
                stored = self.state.value(node, ConfigRevision)
                if stored is not None:
                    self.membership.record_heartbeat(node, *version, now, stored.revision)
            case ConfigRevision(revision):
                self.membership.record_heartbeat(node, *version, now, revision)
            case _:
                self.membership.record_heartbeat(node, *version, now)
        for callback in self._callbacks.get(topic_of(change.value), ()):
            callback(node, change.value)

    def _resolve_conflicts(self, applied: ApplyResult, now: float) -> None:
        for change in applied.conflicting:
            if self.membership.resolve_conflict(change.incarnation, change.counter):
                self.state.republish_with_incarnation(self.membership.own.incarnation, now)
                self.membership.set_own(counter=self.state.version[1])
        if applied.conflicting and self.membership.superseded:
            log.error("another instance has this node's name", step="gossip", peer="")
