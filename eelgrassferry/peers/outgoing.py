"""Queue of gossip values to send, limited by a byte budget."""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass

from .delta_codec import NodeDelta, TopicEntry
from .gossip_messages import Delta, Digest
from .gossip_settings import GossipSettings
from .topics import Topic

__all__ = ["OutgoingMessage", "OutgoingQueue"]

# Upper estimates of the encoding overhead per frame, per node and per entry.
FRAME_OVERHEAD_BYTES = 40
NODE_OVERHEAD_BYTES = 6
ENTRY_OVERHEAD_BYTES = 7

Lookup = Callable[[str, Topic], tuple[int, TopicEntry, float] | None]
_Key = tuple[str, Topic]


@dataclass(frozen=True)
class OutgoingMessage:
    """Message to send to one peer."""

    target: str
    message: Delta | Digest


class OutgoingQueue:
    """Queue of references to the values that each target has yet to receive.

    Values are looked up when they are sent, so a value that changes while it is queued is sent
    once, with its latest content.
    """

    def __init__(self, settings: GossipSettings) -> None:
        self._settings = settings
        self._pending: dict[str, dict[_Key, None]] = {}
        self._budget_bytes = settings.burst_bytes
        self._last_refill_s: float | None = None

    def __len__(self) -> int:
        return sum(len(keys) for keys in self._pending.values())

    def add(self, target: str, node: str, topic: Topic) -> None:
        """Queue a value for a target."""
        self._pending.setdefault(target, {})[node, topic] = None

    def retain_targets(self, targets: Set[str]) -> None:
        """Drop the queued values of all targets other than ``targets``."""
        self._pending = {name: keys for name, keys in self._pending.items() if name in targets}

    def charge(self, size_bytes: int) -> None:
        """Charge the byte budget for a message that is not sent through the queue."""
        self._budget_bytes -= size_bytes

    def next_messages(self, now: float, lookup: Lookup) -> Iterator[OutgoingMessage]:
        """Remove the values that the byte budget allows and yield them as one delta per target.

        Values are ordered by topic, then newest first. ``lookup`` returns the incarnation, the
        entry and the time of receipt of a value, or None if it no longer exists.
        """
        settings = self._settings
        elapsed_s = now - self._last_refill_s if self._last_refill_s is not None else 0.0
        self._last_refill_s = now
        self._budget_bytes = min(
            self._budget_bytes + elapsed_s * settings.bytes_per_s, settings.burst_bytes
        )
        chosen: dict[str, dict[tuple[str, int], list[TopicEntry]]] = {}
        for target, key, (incarnation, entry, _) in self._by_priority(lookup):
            if self._budget_bytes <= 0:
                break
            del self._pending[target][key]
            nodes = chosen.get(target)
            if nodes is None:
                nodes = chosen[target] = {}
                self._budget_bytes -= FRAME_OVERHEAD_BYTES
            node_key = (key[0], incarnation)
            if node_key not in nodes:
                nodes[node_key] = []
                self._budget_bytes -= NODE_OVERHEAD_BYTES + len(key[0])
            nodes[node_key].append(entry)
            self._budget_bytes -= ENTRY_OVERHEAD_BYTES + len(entry.value)
        self._pending = {name: keys for name, keys in self._pending.items() if keys}
        for target, nodes in chosen.items():
            deltas = (NodeDelta(n, inc, tuple(entries)) for (n, inc), entries in nodes.items())
            yield OutgoingMessage(target, Delta.of(*deltas))

    def _by_priority(self, lookup: Lookup) -> list[tuple[str, _Key, tuple[int, TopicEntry, float]]]:
        found = []
        for target, keys in self._pending.items():
            for key in tuple(keys):
                stored = lookup(*key)
                if stored is None:
                    del keys[key]
                else:
                    found.append((target, key, stored))
        found.sort(key=lambda item: (item[1][1], -item[2][2]))
        return found
