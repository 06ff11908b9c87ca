"""Membership of the fleet; a state machine without I/O."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, replace

from .node_entry import INSTANCE_MASK, HostEntry, NodeEntry, NodeState, make_incarnation
from .rendezvous import rendezvous_owner

__all__ = ["Membership", "heartbeat_interval_s"]

# Total heartbeats per second in the fleet; with a fixed total, the cost per node does not grow with
# the fleet.
FLEET_HEARTBEATS_PER_S = 33.0
MIN_HEARTBEAT_S = 1.0
# A node becomes suspect after this many missed heartbeats plus the time that a heartbeat takes to
# propagate through the fleet.
MAX_MISSED_HEARTBEATS = 3
PROPAGATION_S = 4.0
# A node without a link to this node for this long is suspect even if its heartbeats still arrive
# through other nodes.
MAX_UNLINKED_S = 2.0
# Gone nodes are remembered for this long, so that a delayed message cannot add one again.
FORGET_AFTER_S = 600.0


def heartbeat_interval_s(nodes: int) -> float:
    """Return the heartbeat interval in seconds of a node in a fleet of ``nodes`` nodes."""
    return max(MIN_HEARTBEAT_S, nodes / FLEET_HEARTBEATS_PER_S)


@dataclass
class _Member:
    entry: NodeEntry
    last_heartbeat_s: float | None
    last_version: tuple[int, int] = (0, 0)
    unlinked_s: float | None = None
    listed: bool = False
    leaving: bool = False
    view: NodeEntry | None = None
    view_source: NodeEntry | None = None


class Membership:
    """Membership view built from the host list, entries received from peers, and links.

    A received entry replaces a stored one only if its ``(incarnation, counter)`` is greater. A
    restarted node starts with a low incarnation and raises it above the one that its peers still
    store for its previous instance (``resolve_conflict``). All times are in seconds of this
    node's monotonic clock; node states are evaluated at the latest time passed to a method.

    >>> members = Membership(NodeEntry("a", "a-1", 1, 0, "d1", "127.0.0.1:1"))
    >>> members.owner_of("key")
    'a'
    """

    def __init__(self, own: NodeEntry) -> None:
        self.superseded = False
        self._own = own
        self._members: dict[str, _Member] = {}
        self._raised_incarnations: dict[str, int] = {}
        self._now = 0.0
        self._suspect_limit_s = 0.0
        self._entries: dict[str, NodeEntry] | None = None

    @property
    def own(self) -> NodeEntry:
        """Entry of this node."""
        return self._own

    def set_own(
        self,
        *,
        draining: bool | None = None,
        revision: int | None = None,
        counter: int | None = None,
    ) -> NodeEntry:
        """Update the given fields of this node's entry and return the new entry.

        The counter is incremented unless ``counter`` is given.
        """
        own = self._own
        self._entries = None
        self._own = replace(
            own,
            counter=own.counter + 1 if counter is None else counter,
            draining=own.draining if draining is None else draining,
            revision=own.revision if revision is None else revision,
        )
        return self._own

    def resolve_conflict(self, incarnation: int, counter: int) -> bool:
        """Resolve a conflict with an entry that another instance published under this node's name.

        Raise this node's incarnation above that of the entry and return True. If the other
        instance has in turn raised its incarnation above one raised here before, it is still
        running. Of two running instances, the one with the greater counter started earlier and
        must stop: on that one, ``superseded`` is set and False is returned, and the node then stops
        its process. False is also returned for an entry with a lower incarnation.
        """
        own = self._own
        if incarnation < own.incarnation or self.superseded:
            return False
        instance_bits = incarnation & INSTANCE_MASK
        raised_before = self._raised_incarnations.get(instance_bits)
        if raised_before is not None and incarnation > raised_before and counter < own.counter:
            self.superseded = True
            return False
        raised = make_incarnation(own.instance, above=incarnation)
        self._own, self._entries = replace(own, incarnation=raised, counter=own.counter + 1), None
        self._raised_incarnations[instance_bits] = raised
        return True

    def advance(self, now: float) -> None:
        """Set the time at which node states are evaluated."""
        self._now, self._entries = now, None

    def merge_hosts(self, hosts: Iterable[HostEntry], now: float) -> None:
        """Merge a host list.

        The list adds unknown nodes and marks leaving ones, and never removes a live node. A listed
        node is live only after an entry that it published has been received.
        """
        self.advance(now)
        listed = {host.name: host for host in hosts if host.name != self._own.name}
        for name, member in self._members.items():
            member.listed = name in listed
            member.leaving = name in listed and listed[name].leaving
        for name, host in listed.items():
            if name not in self._members:
                entry = NodeEntry(name, "", 0, 0, host.domain, host.address)
                self._members[name] = _Member(entry, None, (0, 0), now, True, host.leaving)
            elif self._members[name].last_heartbeat_s is None:
                member = self._members[name]
                member.entry = replace(member.entry, domain=host.domain, address=host.address)

    def merge(self, received: NodeEntry, now: float) -> bool:
        """Merge an entry received from a peer; return False if it is not a newer one."""
        self.advance(now)
        if received.name == self._own.name:
            return received.instance != self._own.instance and self.resolve_conflict(
                *received.version
            )
        member = self._members.get(received.name)
        if member is None:
            self._members[received.name] = _Member(received, now, received.version)
            return True
        if received.version <= member.entry.version:
            return False
        if received.incarnation == member.entry.incarnation:
            received = replace(received, revision=max(received.revision, member.entry.revision))
        member.entry = received
        if received.version > member.last_version:
            member.last_heartbeat_s, member.last_version = now, received.version
        return True

    def record_heartbeat(
        self, name: str, incarnation: int, counter: int, now: float, revision: int = 0
    ) -> bool:
        """Record a value of this version as a heartbeat; return False if it is not newer.

        ``revision`` is the configuration revision of the node, or 0 if the value has none; a lower
        revision than the stored one is ignored.
        """
        self.advance(now)
        member = self._members.get(name)
        if member is None or incarnation != member.entry.incarnation:
            return False
        if revision > member.entry.revision:
            member.entry = replace(member.entry, revision=revision)
        if (incarnation, counter) <= member.last_version:
            return False
        member.last_heartbeat_s, member.last_version = now, (incarnation, counter)
        return True

    def set_linked(self, linked: Set[str], now: float) -> None:
        """Set the names of the peers to which this node has a link."""
        self.advance(now)
        for name, member in self._members.items():
            if name in linked:
                member.unlinked_s = None
            elif member.unlinked_s is None:
                member.unlinked_s = now

    def remove_expired(self, now: float) -> tuple[str, ...]:
        """Remove unlisted nodes that have been gone for ``FORGET_AFTER_S``; return their names."""
        self.advance(now)
        limit = FORGET_AFTER_S + 2.0 * self._suspect_after_s()
        old = [
            name
            for name, member in self._members.items()
            if not member.listed and now - (member.last_heartbeat_s or 0) > limit
        ]
        for name in old:
            del self._members[name]
        return tuple(old)

    def entry(self, name: str) -> NodeEntry | None:
        """Return the entry of a node, or None if the name is unknown."""
        return self._entries_by_name().get(name)

    def entries(self) -> tuple[NodeEntry, ...]:
        """Return the entries of all known nodes, including this and gone nodes, sorted by name."""
        return tuple(self._entries_by_name().values())

    def live(self, domain: str | None = None) -> tuple[NodeEntry, ...]:
        """Return the live nodes, optionally of one failure domain, sorted by name."""
        return tuple(
            entry
            for entry in self._entries_by_name().values()
            if entry.state is NodeState.LIVE and domain in (None, entry.domain)
        )

    def owner_of(self, key: str, domain: str | None = None) -> str | None:
        """Return the name of the live node that owns a key, or None if the domain has no live node.

        Draining nodes own keys only if all live nodes are draining.
        """
        live = self.live(domain)
        names = [entry.name for entry in live if not entry.draining]
        return rendezvous_owner(key, names or [entry.name for entry in live])

    def is_alive(self, instance: str) -> bool:
        """Return whether an instance may still be running.

        This is the case if it is the latest known instance of a node that is not gone. An unknown
        instance is not alive.
        """
        found = (e for e in self.entries() if e.instance == instance)
        return any(entry.state is not NodeState.GONE for entry in found)

    def _entries_by_name(self) -> dict[str, NodeEntry]:
        if self._entries is None:
            self._suspect_limit_s = self._suspect_after_s()
            views = [self._own, *(self._view(member) for member in self._members.values())]
            self._entries = {view.name: view for view in sorted(views, key=lambda v: v.name)}
        return self._entries

    def _suspect_after_s(self) -> float:
        return PROPAGATION_S + MAX_MISSED_HEARTBEATS * heartbeat_interval_s(len(self._members) + 1)

    def _view(self, member: _Member) -> NodeEntry:
        """Return the entry with its evaluated state; the same object if nothing has changed."""
        state, draining = self._state(member), member.entry.draining or member.leaving
        view = member.view
        same = member.view_source is member.entry and view is not None
        if same and (view.state, view.draining) == (state, draining):
            return view
        member.view_source = member.entry
        member.view = replace(member.entry, draining=draining, state=state)
        return member.view

    def _state(self, member: _Member) -> NodeState:
        if member.last_heartbeat_s is None:
            return NodeState.SUSPECT if member.listed else NodeState.GONE
        silent_s = self._now - member.last_heartbeat_s
        if silent_s > 2.0 * self._suspect_limit_s:
            return NodeState.GONE
        unlinked = member.unlinked_s is not None and self._now - member.unlinked_s > MAX_UNLINKED_S
        return NodeState.SUSPECT if unlinked or silent_s > self._suspect_limit_s else NodeState.LIVE
