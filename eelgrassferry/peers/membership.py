"""Which nodes there are; a state machine without I/O."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, replace

from .node_entry import INSTANCE_MASK, HostEntry, NodeEntry, NodeState, make_incarnation
from .rendezvous import rendezvous_owner

__all__ = ["Membership", "heartbeat_interval_s"]

# Heartbeats of the whole fleet per second, so that their cost per node does not grow with it.
FLEET_HEARTBEATS_PER_S = 33.0
MIN_HEARTBEAT_S = 1.0
# Heartbeats that may be missed, and the delay of their spreading through the fleet.
MISSED_HEARTBEATS = 3
SPREAD_S = 4.0
# A node that this node cannot link to for this long is a suspect even if others hear it.
UNLINKED_LIMIT_S = 2.0
# Gone nodes are kept this long, so that a delayed message cannot bring one back.
FORGET_AFTER_S = 600.0


def heartbeat_interval_s(nodes: int) -> float:
    """Return the time between two heartbeats of a node in a fleet of this size."""
    return max(MIN_HEARTBEAT_S, nodes / FLEET_HEARTBEATS_PER_S)


@dataclass
class _Held:
    entry: NodeEntry
    heard_s: float | None
    heard: tuple[int, int] = (0, 0)
    unlinked_s: float | None = None
    listed: bool = False
    leaving: bool = False
    view: NodeEntry | None = None
    viewed: NodeEntry | None = None


class Membership:
    """Merges the host list with what peers tell and what this node's links show.

    A told entry replaces a held one only if its ``(incarnation, counter)`` is greater. A node
    that starts anew takes a low incarnation and raises it above the one that its peers still
    hold of its former instance (``contest``). All times are in seconds of this node's own
    monotonic clock; states are as of the latest time given.

    >>> members = Membership(NodeEntry("a", "a-1", 1, 0, "d1", "127.0.0.1:1"))
    >>> members.owner_of("key")
    'a'
    """

    def __init__(self, own: NodeEntry) -> None:
        self.superseded = False
        self._own = own
        self._held: dict[str, _Held] = {}
        self._rivals: dict[str, int] = {}
        self._now = 0.0
        self._limit_s = 0.0
        self._views: dict[str, NodeEntry] | None = None

    @property
    def own(self) -> NodeEntry:
        """This node's own entry."""
        return self._own

    def set_own(
        self,
        *,
        draining: bool | None = None,
        revision: int | None = None,
        counter: int | None = None,
    ) -> NodeEntry:
        """Change this node's own entry."""
        own = self._own
        self._views = None
        self._own = replace(
            own,
            counter=own.counter + 1 if counter is None else counter,
            draining=own.draining if draining is None else draining,
            revision=own.revision if revision is None else revision,
        )
        return self._own

    def contest(self, incarnation: int, counter: int) -> bool:
        """Answer an entry about this node's name that another instance wrote.

        Raises the own incarnation above it and returns True. An instance that has raised its
        incarnation above an earlier answer is alive; of two live instances the one with the
        greater counter started earlier and gives way: ``superseded`` is set, and the shell stops
        the process.
        """
        own = self._own
        if incarnation < own.incarnation or self.superseded:
            return False
        mark = incarnation & INSTANCE_MASK
        answered = self._rivals.get(mark)
        if answered is not None and incarnation > answered and counter < own.counter:
            self.superseded = True
            return False
        raised = make_incarnation(own.instance, above=incarnation)
        self._own, self._views = replace(own, incarnation=raised, counter=own.counter + 1), None
        self._rivals[mark] = raised
        return True

    def advance(self, now: float) -> None:
        """Set the time as of which states are given."""
        self._now, self._views = now, None

    def merge_hosts(self, hosts: Iterable[HostEntry], now: float) -> None:
        """Take a new host list. It adds nodes and marks leaving ones, and never removes a live one.

        A listed node counts as live only once it has been heard.
        """
        self.advance(now)
        listed = {host.name: host for host in hosts if host.name != self._own.name}
        for name, held in self._held.items():
            held.listed = name in listed
            held.leaving = name in listed and listed[name].leaving
        for name, host in listed.items():
            if name not in self._held:
                entry = NodeEntry(name, "", 0, 0, host.domain, host.address)
                self._held[name] = _Held(entry, None, (0, 0), now, True, host.leaving)
            elif self._held[name].heard_s is None:
                held = self._held[name]
                held.entry = replace(held.entry, domain=host.domain, address=host.address)

    def merge(self, told: NodeEntry, now: float) -> bool:
        """Take what a peer tells; return False where it is not newer than what is held."""
        self.advance(now)
        if told.name == self._own.name:
            return told.instance != self._own.instance and self.contest(*told.version)
        held = self._held.get(told.name)
        if held is None:
            self._held[told.name] = _Held(told, now, told.version)
            return True
        if told.version <= held.entry.version:
            return False
        if told.incarnation == held.entry.incarnation:
            told = replace(told, revision=max(told.revision, held.entry.revision))
        held.entry = told
        if told.version > held.heard:
            held.heard_s, held.heard = now, told.version
        return True

    def hear(
        self, name: str, incarnation: int, counter: int, now: float, revision: int = 0
    ) -> bool:
        """Note a sign of life with this version; return False where it is not newer.

        ``revision`` is the configuration revision where the sign tells one; it only grows.
        """
        self.advance(now)
        held = self._held.get(name)
        if held is None or incarnation != held.entry.incarnation:
            return False
        if revision > held.entry.revision:
            held.entry = replace(held.entry, revision=revision)
        if (incarnation, counter) <= held.heard:
            return False
        held.heard_s, held.heard = now, (incarnation, counter)
        return True

    def set_linked(self, linked: Set[str], now: float) -> None:
        """Note to which peers this node has a link."""
        self.advance(now)
        for name, held in self._held.items():
            if name in linked:
                held.unlinked_s = None
            elif held.unlinked_s is None:
                held.unlinked_s = now

    def forget_old(self, now: float) -> tuple[str, ...]:
        """Forget nodes that have been gone for long and are not listed; return their names."""
        self.advance(now)
        limit = FORGET_AFTER_S + 2.0 * self._suspect_after_s()
        old = [n for n, h in self._held.items() if not h.listed and now - (h.heard_s or 0) > limit]
        for name in old:
            del self._held[name]
        return tuple(old)

    def entry(self, name: str) -> NodeEntry | None:
        """Return what is known about a node, None for an unknown name."""
        return self._all().get(name)

    def entries(self) -> tuple[NodeEntry, ...]:
        """Return all known nodes by name, with this one and with the gone ones."""
        return tuple(self._all().values())

    def live(self, domain: str | None = None) -> tuple[NodeEntry, ...]:
        """Return the live nodes by name, of one failure domain if given."""
        return tuple(
            entry
            for entry in self._all().values()
            if entry.state is NodeState.LIVE and domain in (None, entry.domain)
        )

    def owner_of(self, key: str, domain: str | None = None) -> str | None:
        """Return the name of the live node that owns a key, None where the domain has none.

        Draining nodes own nothing as long as another node is live.
        """
        live = self.live(domain)
        names = [entry.name for entry in live if not entry.draining]
        return rendezvous_owner(key, names or [entry.name for entry in live])

    def is_alive(self, instance: str) -> bool:
        """Return whether an instance may still run: it is the newest known of a node not gone.

        An unknown instance counts as not alive.
        """
        found = (e for e in self.entries() if e.instance == instance)
        return any(entry.state is not NodeState.GONE for entry in found)

    def _all(self) -> dict[str, NodeEntry]:
        if self._views is None:
            self._limit_s = self._suspect_after_s()
            views = [self._own, *(self._view(held) for held in self._held.values())]
            self._views = {view.name: view for view in sorted(views, key=lambda v: v.name)}
        return self._views

    def _suspect_after_s(self) -> float:
        return SPREAD_S + MISSED_HEARTBEATS * heartbeat_interval_s(len(self._held) + 1)

    def _view(self, held: _Held) -> NodeEntry:
        """Return the entry with its state, and the same object as before where nothing changed."""
        state, draining = self._state(held), held.entry.draining or held.leaving
        view = held.view
        same = held.viewed is held.entry and view is not None
        if same and (view.state, view.draining) == (state, draining):
            return view
        held.viewed = held.entry
        held.view = replace(held.entry, draining=draining, state=state)
        return held.view

    def _state(self, held: _Held) -> NodeState:
        if held.heard_s is None:
            return NodeState.SUSPECT if held.listed else NodeState.GONE
        silent_s = self._now - held.heard_s
        if silent_s > 2.0 * self._limit_s:
            return NodeState.GONE
        unlinked = held.unlinked_s is not None and self._now - held.unlinked_s > UNLINKED_LIMIT_S
        return NodeState.SUSPECT if unlinked or silent_s > self._limit_s else NodeState.LIVE
