"""What this node knows of all nodes' topics, and what it has to pass on; no I/O."""

import zlib
from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from random import Random

from result import Err

from .broadcast_tree import BroadcastTree
from .delta_codec import (
    MAX_NAME_BYTES,
    MAX_VALUE_BYTES,
    MAX_VERSION,
    NodeDelta,
    TopicEntry,
    unpack_nodes,
)
from .gossip_limits import GossipLimits
from .gossip_messages import Delta, Digest
from .outgoing import Outgoing, OutgoingQueue
from .topics import Topic, TopicValue, decode_value, encode_value, topic_of

__all__ = ["Applied", "Change", "GossipState", "Outgoing"]


@dataclass(frozen=True)
class Change:
    """A value that is newer than what was held."""

    node: str
    incarnation: int
    counter: int
    value: TopicValue


@dataclass(frozen=True)
class Applied:
    """The outcome of a received delta: new values, and an answer where one is due.

    ``contested`` holds values that another instance published under this node's name; the caller
    then raises the incarnation. ``malformed`` counts values that did not fit their topic.
    """

    changes: tuple[Change, ...] = ()
    contested: tuple[Change, ...] = ()
    reply: Delta | None = None
    malformed: int = 0


@dataclass(frozen=True)
class _Held:
    counter: int
    data: bytes
    value: TopicValue
    learned_s: float


@dataclass
class _Node:
    incarnation: int
    topics: dict[Topic, _Held] = field(default_factory=dict)


class GossipState:
    """Versioned values by node and topic with delta encoding and a byte budget.

    A new value goes once to each target in its origin's tree (``BroadcastTree``), newest first
    within the budget; a value that is replaced before it was sent is not sent at all. Rare topics
    go to a few more random peers as well, and their fingerprints are compared with a random
    peer's from time to time. Times are in seconds of this node's monotonic clock.

    >>> state = GossipState("a", "d1", 1, Random(1))
    >>> state.publish(ConfigRevision(3), now=0.0)
    >>> state.values(ConfigRevision)
    {'a': ConfigRevision(revision=3)}
    """

    def __init__(
        self,
        name: str,
        domain: str,
        incarnation: int,
        rng: Random,
        limits: GossipLimits | None = None,
    ) -> None:
        if len(name.encode()) > MAX_NAME_BYTES:
            raise ValueError(f"node name {name!r} is longer than {MAX_NAME_BYTES} bytes")
        self._name = name
        self._domain = domain
        self._rng = rng
        self._limits = limits or GossipLimits()
        self._nodes: dict[str, _Node] = {name: _Node(incarnation)}
        self._counter = 0
        self._queue = OutgoingQueue(self._limits)
        self._domains: dict[str, str] = {}
        self._linked: frozenset[str] = frozenset()
        self._all = BroadcastTree(name, (), frozenset())
        self._local = self._all
        self._digest_due_s = 0.0
        self._digest_from = ""

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and counter of this node's latest value."""
        return self._nodes[self._name].incarnation, self._counter

    @property
    def backlog(self) -> int:
        """Values that wait for the byte budget, counted once for each target."""
        return len(self._queue)

    def values(self, kind: type) -> dict[str, TopicValue]:
        """Return the values of one value class by node."""
        topic = topic_of(kind)
        return {n: h.topics[topic].value for n, h in self._nodes.items() if topic in h.topics}

    def value(self, node: str, kind: type) -> TopicValue | None:
        """Return one node's value of a value class, None where it has none."""
        known = self._nodes.get(node)
        held = known.topics.get(topic_of(kind)) if known else None
        return held.value if held else None

    def set_peers(self, domains: Mapping[str, str], linked: Set[str]) -> None:
        """Set the failure domain of each node to spread to, and to which of them links exist."""
        if domains == self._domains and linked == self._linked:
            return
        self._domains, self._linked = dict(domains), frozenset(linked)
        local = [name for name, domain in domains.items() if domain == self._domain]
        self._all = BroadcastTree(self._name, domains, self._linked)
        self._local = BroadcastTree(self._name, local, self._linked)
        self._queue.keep_only(self._linked)

    def publish(self, value: TopicValue, now: float) -> None:
        """Set this node's own value of a topic; ``ValueError`` for one over 64 KiB."""
        topic, data = topic_of(value), encode_value(value)
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {topic.name} has {len(data)} bytes")
        self._counter += 1
        held = _Held(self._counter, data, value, now)
        self._nodes[self._name].topics[topic] = held
        self._spread(self._name, topic)

    def raise_incarnation(self, incarnation: int, now: float) -> None:
        """Publish all own values again under a greater incarnation."""
        own = self._nodes[self._name]
        own.incarnation = max(own.incarnation, incarnation)
        for held in tuple(own.topics.values()):
            self.publish(held.value, now)

    def greet(self, peer: str) -> None:
        """Send all own values to a peer to which a link has come up."""
        local = self._domains.get(peer) == self._domain
        for topic in self._nodes[self._name].topics:
            if local or not topic.in_domain:
                self._queue.add(peer, self._name, topic)

    def forget(self, names: Set[str]) -> None:
        """Drop all values of nodes that are gone."""
        for name in names - {self._name}:
            self._nodes.pop(name, None)

    def next_round(self, now: float) -> tuple[Outgoing, ...]:
        """Return the messages to send now."""
        sent = list(self._queue.take(now, self._find))
        if now >= self._digest_due_s and self._linked:
            first_round = self._digest_due_s == 0.0
            self._digest_due_s = now + self._limits.anti_entropy_s * self._rng.uniform(0.8, 1.2)
            digest = self._make_digest(first_round)
            sent.append(Outgoing(self._rng.choice(sorted(self._linked)), digest))
            self._queue.spend(sum(len(name) + 7 for name, _ in digest.nodes) + 40)
        return tuple(sent)

    def apply(self, peer: str, delta: Delta, now: float) -> Applied:
        """Take a delta from a peer and queue what is new for the targets of its origins."""
        changes: list[Change] = []
        contested: list[Change] = []
        behind: set[str] = set()
        unpacked = unpack_nodes(delta.packed)
        if isinstance(unpacked, Err):
            return Applied(malformed=1)
        malformed = 0
        for told in unpacked.ok_value:
            for entry in told.entries:
                if not _is_plausible(told, entry):
                    malformed += 1
                    continue
                topic = Topic(entry.topic)
                if not self._is_newer(told, topic, entry):
                    # The peer has started anew and does not know of its former instance yet.
                    if told.node == peer and told.incarnation < self._nodes[peer].incarnation:
                        behind.add(peer)
                    continue
                got = decode_value(topic, entry.value)
                if isinstance(got, Err):
                    malformed += 1
                    continue
                change = Change(told.node, told.incarnation, entry.counter, got.ok_value)
                if told.node == self._name:
                    contested.append(change)
                    continue
                self._store(told, topic, _Held(entry.counter, entry.value, got.ok_value, now))
                changes.append(change)
        reply = self._collect(behind | set(delta.wants), ())
        return Applied(tuple(changes), tuple(contested), reply, malformed)

    def answer_digest(self, digest: Digest) -> Delta | None:
        """Return the rare values where the peer's fingerprint differs, and ask for the peer's."""
        theirs = dict(digest.nodes)
        mine = {name: self._fingerprint(name) for name in self._names(digest.first, digest.end)}
        differ = {name for name, value in mine.items() if theirs.get(name) != value}
        wants = [name for name, value in theirs.items() if mine.get(name, 0) != value]
        return self._collect(differ, tuple(wants))

    def _spread(self, node: str, topic: Topic, sender: str = "") -> None:
        tree = self._local if topic.in_domain else self._all
        targets = set(tree.targets_of(node))
        if topic.rare and self._linked:
            count = min(self._limits.extra_copies, len(self._linked))
            targets.update(self._rng.sample(sorted(self._linked), count))
        for target in targets - {sender, node}:
            self._queue.add(target, node, topic)

    def _find(self, node: str, topic: Topic) -> tuple[int, TopicEntry, float] | None:
        known = self._nodes.get(node)
        held = known.topics.get(topic) if known else None
        if known is None or held is None:
            return None
        return known.incarnation, TopicEntry(topic, held.counter, held.data), held.learned_s

    def _is_newer(self, told: NodeDelta, topic: Topic, entry: TopicEntry) -> bool:
        if told.node == self._name:
            return (told.incarnation, entry.counter) > self.version
        known = self._nodes.get(told.node)
        if known is None or told.incarnation != known.incarnation:
            return known is None or told.incarnation > known.incarnation
        held = known.topics.get(topic)
        return held is None or entry.counter > held.counter

    def _store(self, told: NodeDelta, topic: Topic, held: _Held) -> None:
        known = self._nodes.get(told.node)
        if known is None or told.incarnation > known.incarnation:
            known = self._nodes[told.node] = _Node(told.incarnation)
        known.topics[topic] = held
        self._spread(told.node, topic)

    def _names(self, first: str, end: str) -> list[str]:
        return sorted(name for name in self._nodes if name >= first and (not end or name < end))

    def _fingerprint(self, name: str) -> int:
        known = self._nodes[name]
        rare = [(t, known.topics[t].counter) for t in sorted(known.topics) if t.rare]
        return zlib.crc32(repr((known.incarnation, rare)).encode()) if rare else 0

    def _make_digest(self, whole: bool) -> Digest:
        first = "" if whole else self._digest_from
        names = self._names(first, "")
        count = self._limits.digest_nodes
        end = names[count] if len(names) > count else ""
        self._digest_from = end
        chosen = [name for name in names if not end or name < end]
        return Digest(first, end, tuple((name, self._fingerprint(name)) for name in chosen))

    def _collect(self, names: Set[str], wants: tuple[str, ...]) -> Delta | None:
        """Return a delta with the rare topics of some nodes, in random order up to a size."""
        room = self._limits.reply_bytes
        nodes = []
        for name in self._rng.sample(sorted(names), len(names)):
            known = self._nodes.get(name)
            if known is None or room <= 0:
                continue
            rare = [(topic, held) for topic, held in sorted(known.topics.items()) if topic.rare]
            entries = tuple(TopicEntry(topic, held.counter, held.data) for topic, held in rare)
            room -= len(name) + sum(len(entry.value) + 8 for entry in entries)
            nodes.append(NodeDelta(name, known.incarnation, entries))
        if not nodes and not wants:
            return None
        delta = Delta.of(*nodes, wants=wants)
        self._queue.spend(self._limits.reply_bytes - room + 40)
        return delta


def _is_plausible(told: NodeDelta, entry: TopicEntry) -> bool:
    topics = Topic.__members__.values()
    return entry.topic in topics and max(told.incarnation, entry.counter) < MAX_VERSION
