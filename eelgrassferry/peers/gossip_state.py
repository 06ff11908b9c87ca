"""Replicated gossip values of all nodes and the queue of values to forward; without I/O."""

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
from .gossip_messages import Delta, Digest
from .gossip_settings import GossipSettings
from .outgoing import OutgoingMessage, OutgoingQueue
from .topics import Topic, TopicValue, decode_value, encode_value, topic_of

__all__ = ["ApplyResult", "Change", "GossipState", "OutgoingMessage"]


@dataclass(frozen=True)
class Change:
    """A received value that is newer than the stored one."""

    node: str
    incarnation: int
    counter: int
    value: TopicValue


@dataclass(frozen=True)
class ApplyResult:
    """Result of applying a received delta: new values and the reply to send, if any.

    ``conflicting`` contains values that another instance published under this node's name; the
    caller must then raise this node's incarnation. ``malformed`` is the number of values that
    could not be decoded.
    """

    changes: tuple[Change, ...] = ()
    conflicting: tuple[Change, ...] = ()
    reply: Delta | None = None
    malformed: int = 0


@dataclass(frozen=True)
class _StoredValue:
    counter: int
    data: bytes
    value: TopicValue
    received_s: float


@dataclass
class _NodeValues:
    incarnation: int
    topics: dict[Topic, _StoredValue] = field(default_factory=dict)


class GossipState:
    """Versioned values by node and topic, sent as deltas within a byte budget.

    A new value is sent once to each target in the broadcast tree of its origin
    (``BroadcastTree``), newest first within the budget; a value that is replaced before it was
    sent is not sent at all. Values of topics that use anti-entropy are also sent to a few random
    peers, and their fingerprints are periodically compared with those of a random peer. Times are
    in seconds of this node's monotonic clock.

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
        settings: GossipSettings | None = None,
    ) -> None:
        if len(name.encode()) > MAX_NAME_BYTES:
            raise ValueError(f"node name {name!r} is longer than {MAX_NAME_BYTES} bytes")
        self._name = name
        self._domain = domain
        self._rng = rng
        self._settings = settings or GossipSettings()
        self._nodes: dict[str, _NodeValues] = {name: _NodeValues(incarnation)}
        self._counter = 0
        self._queue = OutgoingQueue(self._settings)
        self._domains: dict[str, str] = {}
        self._linked: frozenset[str] = frozenset()
        self._fleet_tree = BroadcastTree(name, (), frozenset())
        self._domain_tree = self._fleet_tree
        self._digest_due_s = 0.0
        self._next_digest_start = ""

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and counter of the latest value that this node published."""
        return self._nodes[self._name].incarnation, self._counter

    @property
    def backlog(self) -> int:
        """Number of values waiting for the byte budget, counted once for each target."""
        return len(self._queue)

    def values(self, kind: type) -> dict[str, TopicValue]:
        """Return the values of a value class by node name."""
        topic = topic_of(kind)
        return {
            name: node_values.topics[topic].value
            for name, node_values in self._nodes.items()
            if topic in node_values.topics
        }

    def value(self, node: str, kind: type) -> TopicValue | None:
        """Return a node's value of a value class, or None if it has none."""
        node_values = self._nodes.get(node)
        stored = node_values.topics.get(topic_of(kind)) if node_values else None
        return stored.value if stored else None

    def set_peers(self, domains: Mapping[str, str], linked: Set[str]) -> None:
        """Set the failure domains of the other nodes and the names of those with a link."""
        if domains == self._domains and linked == self._linked:
            return
        self._domains, self._linked = dict(domains), frozenset(linked)
        local = [name for name, domain in domains.items() if domain == self._domain]
        self._fleet_tree = BroadcastTree(self._name, domains, self._linked)
        self._domain_tree = BroadcastTree(self._name, local, self._linked)
        self._queue.retain_targets(self._linked)

    def publish(self, value: TopicValue, now: float) -> None:
        """Set this node's value of a topic and queue it for its targets.

        Raises ``ValueError`` if the encoded value exceeds 64 KiB.
        """
        topic, data = topic_of(value), encode_value(value)
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of topic {topic.name} has {len(data)} bytes, more than {MAX_VALUE_BYTES}"
            )
        self._counter += 1
        stored = _StoredValue(self._counter, data, value, now)
        self._nodes[self._name].topics[topic] = stored
        self._enqueue_forward(self._name, topic)

    def republish_with_incarnation(self, incarnation: int, now: float) -> None:
        """Raise the incarnation to at least ``incarnation`` and publish all own values again."""
        own = self._nodes[self._name]
        own.incarnation = max(own.incarnation, incarnation)
        for stored in tuple(own.topics.values()):
            self.publish(stored.value, now)

    def queue_own_values(self, peer: str) -> None:
        """Queue all own values for a peer to which a link has been established."""
        local = self._domains.get(peer) == self._domain
        for topic in self._nodes[self._name].topics:
            if local or not topic.domain_scoped:
                self._queue.add(peer, self._name, topic)

    def remove_nodes(self, names: Set[str]) -> None:
        """Remove all values of the given nodes, except this node's own."""
        for name in names - {self._name}:
            self._nodes.pop(name, None)

    def next_round(self, now: float) -> tuple[OutgoingMessage, ...]:
        """Return the messages to send in this round: queued values and, when due, a digest."""
        messages = list(self._queue.next_messages(now, self._lookup))
        if now >= self._digest_due_s and self._linked:
            first_round = self._digest_due_s == 0.0
            self._digest_due_s = now + self._settings.anti_entropy_s * self._rng.uniform(0.8, 1.2)
            digest = self._make_digest(first_round)
            messages.append(OutgoingMessage(self._rng.choice(sorted(self._linked)), digest))
            self._queue.charge(sum(len(name) + 7 for name, _ in digest.nodes) + 40)
        return tuple(messages)

    def apply(self, peer: str, delta: Delta, now: float) -> ApplyResult:
        """Apply a delta from a peer and queue its new values for forwarding."""
        changes: list[Change] = []
        conflicting: list[Change] = []
        outdated: set[str] = set()
        unpacked = unpack_nodes(delta.packed)
        if isinstance(unpacked, Err):
            return ApplyResult(malformed=1)
        malformed = 0
        for node_delta in unpacked.ok_value:
            for entry in node_delta.entries:
                if not _is_plausible(node_delta, entry):
                    malformed += 1
                    continue
                topic = Topic(entry.topic)
                if not self._is_newer(node_delta, topic, entry):
                    # The peer has restarted and is not aware of its previous incarnation yet.
                    if (
                        node_delta.node == peer
                        and node_delta.incarnation < self._nodes[peer].incarnation
                    ):
                        outdated.add(peer)
                    continue
                decoded = decode_value(topic, entry.value)
                if isinstance(decoded, Err):
                    malformed += 1
                    continue
                change = Change(
                    node_delta.node, node_delta.incarnation, entry.counter, decoded.ok_value
                )
                if node_delta.node == self._name:
                    conflicting.append(change)
                    continue
                self._store(
                    node_delta,
                    topic,
                    _StoredValue(entry.counter, entry.value, decoded.ok_value, now),
                )
                changes.append(change)
        reply = self._make_reply(outdated | set(delta.requested_nodes), ())
        return ApplyResult(tuple(changes), tuple(conflicting), reply, malformed)

    def reply_to_digest(self, digest: Digest) -> Delta | None:
        """Return the reply to a digest, or None if all fingerprints match.

        The reply contains this node's values where the fingerprints differ and requests the values
        of the peer.
        """
        theirs = dict(digest.nodes)
        mine = {
            name: self._fingerprint(name) for name in self._names_in_range(digest.first, digest.end)
        }
        differ = {name for name, value in mine.items() if theirs.get(name) != value}
        requested_nodes = [name for name, value in theirs.items() if mine.get(name, 0) != value]
        return self._make_reply(differ, tuple(requested_nodes))

    def _enqueue_forward(self, node: str, topic: Topic, sender: str = "") -> None:
        tree = self._domain_tree if topic.domain_scoped else self._fleet_tree
        targets = set(tree.targets_of(node))
        if topic.uses_anti_entropy and self._linked:
            count = min(self._settings.extra_copies, len(self._linked))
            targets.update(self._rng.sample(sorted(self._linked), count))
        for target in targets - {sender, node}:
            self._queue.add(target, node, topic)

    def _lookup(self, node: str, topic: Topic) -> tuple[int, TopicEntry, float] | None:
        node_values = self._nodes.get(node)
        stored = node_values.topics.get(topic) if node_values else None
        if node_values is None or stored is None:
            return None
        return (
            node_values.incarnation,
            TopicEntry(topic, stored.counter, stored.data),
            stored.received_s,
        )

    def _is_newer(self, node_delta: NodeDelta, topic: Topic, entry: TopicEntry) -> bool:
        if node_delta.node == self._name:
            return (node_delta.incarnation, entry.counter) > self.version
        node_values = self._nodes.get(node_delta.node)
        if node_values is None or node_delta.incarnation != node_values.incarnation:
            return node_values is None or node_delta.incarnation > node_values.incarnation
        stored = node_values.topics.get(topic)
        return stored is None or entry.counter > stored.counter

    def _store(self, node_delta: NodeDelta, topic: Topic, stored: _StoredValue) -> None:
        node_values = self._nodes.get(node_delta.node)
        if node_values is None or node_delta.incarnation > node_values.incarnation:
            node_values = self._nodes[node_delta.node] = _NodeValues(node_delta.incarnation)
        node_values.topics[topic] = stored
        self._enqueue_forward(node_delta.node, topic)

    def _names_in_range(self, first: str, end: str) -> list[str]:
        return sorted(name for name in self._nodes if name >= first and (not end or name < end))

    def _fingerprint(self, name: str) -> int:
        node_values = self._nodes[name]
        # The representation contains the names of the topics. Peers compare fingerprints, so the
        # names of topics that use anti-entropy must not change.
        counters = [
            (t, node_values.topics[t].counter)
            for t in sorted(node_values.topics)
            if t.uses_anti_entropy
        ]
        return zlib.crc32(repr((node_values.incarnation, counters)).encode()) if counters else 0

    def _make_digest(self, from_start: bool) -> Digest:
        first = "" if from_start else self._next_digest_start
        names = self._names_in_range(first, "")
        count = self._settings.digest_nodes
        end = names[count] if len(names) > count else ""
        self._next_digest_start = end
        chosen = [name for name in names if not end or name < end]
        return Digest(first, end, tuple((name, self._fingerprint(name)) for name in chosen))

    def _make_reply(self, names: Set[str], requested_nodes: tuple[str, ...]) -> Delta | None:
        """Return a delta with the anti-entropy topics of the named nodes, or None if it is empty.

        The nodes are added in random order until ``reply_bytes`` is reached.
        """
        remaining_bytes = self._settings.reply_bytes
        nodes = []
        for name in self._rng.sample(sorted(names), len(names)):
            node_values = self._nodes.get(name)
            if node_values is None or remaining_bytes <= 0:
                continue
            stored_values = [
                (topic, stored)
                for topic, stored in sorted(node_values.topics.items())
                if topic.uses_anti_entropy
            ]
            entries = tuple(
                TopicEntry(topic, stored.counter, stored.data) for topic, stored in stored_values
            )
            remaining_bytes -= len(name) + sum(len(entry.value) + 8 for entry in entries)
            nodes.append(NodeDelta(name, node_values.incarnation, entries))
        if not nodes and not requested_nodes:
            return None
        delta = Delta.of(*nodes, requested_nodes=requested_nodes)
        self._queue.charge(self._settings.reply_bytes - remaining_bytes + 40)
        return delta


def _is_plausible(node_delta: NodeDelta, entry: TopicEntry) -> bool:
    topics = Topic.__members__.values()
    return entry.topic in topics and max(node_delta.incarnation, entry.counter) < MAX_VERSION
