"""The queue of values that wait to be sent, and its byte budget."""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass

from .delta_codec import NodeDelta, TopicEntry
from .gossip_limits import GossipLimits
from .gossip_messages import Delta, Digest
from .topics import Topic

__all__ = ["Outgoing", "OutgoingQueue"]

# Upper estimates of the bytes around a value: a frame, a node's head, an entry's head.
FRAME_BYTES = 40
NODE_BYTES = 6
ENTRY_BYTES = 7

Find = Callable[[str, Topic], tuple[int, TopicEntry, float] | None]
_Key = tuple[str, Topic]


@dataclass(frozen=True)
class Outgoing:
    """One message to one peer."""

    target: str
    message: Delta | Digest


class OutgoingQueue:
    """Holds for each target which values it still has to get, not the values themselves.

    A value that changes while it waits is therefore sent once, with its newest content.
    """

    def __init__(self, limits: GossipLimits) -> None:
        self._limits = limits
        self._waiting: dict[str, dict[_Key, None]] = {}
        self._tokens = limits.burst_bytes
        self._last_s: float | None = None

    def __len__(self) -> int:
        return sum(len(keys) for keys in self._waiting.values())

    def add(self, target: str, node: str, topic: Topic) -> None:
        """Queue a value for a target."""
        self._waiting.setdefault(target, {})[node, topic] = None

    def keep_only(self, targets: Set[str]) -> None:
        """Drop what waits for targets that have no link any more."""
        self._waiting = {name: keys for name, keys in self._waiting.items() if name in targets}

    def spend(self, size_bytes: int) -> None:
        """Charge a message that is sent beside the queue."""
        self._tokens -= size_bytes

    def take(self, now: float, find: Find) -> Iterator[Outgoing]:
        """Take what the budget allows, by topic and then newest first, as one delta a target."""
        limits = self._limits
        passed_s = now - self._last_s if self._last_s is not None else 0.0
        self._last_s = now
        self._tokens = min(self._tokens + passed_s * limits.bytes_per_s, limits.burst_bytes)
        chosen: dict[str, dict[tuple[str, int], list[TopicEntry]]] = {}
        for target, key, (incarnation, entry, _) in self._in_order(find):
            if self._tokens <= 0:
                break
            del self._waiting[target][key]
            nodes = chosen.get(target)
            if nodes is None:
                nodes = chosen[target] = {}
                self._tokens -= FRAME_BYTES
            head = (key[0], incarnation)
            if head not in nodes:
                nodes[head] = []
                self._tokens -= NODE_BYTES + len(key[0])
            nodes[head].append(entry)
            self._tokens -= ENTRY_BYTES + len(entry.value)
        self._waiting = {name: keys for name, keys in self._waiting.items() if keys}
        for target, nodes in chosen.items():
            deltas = (NodeDelta(n, inc, tuple(entries)) for (n, inc), entries in nodes.items())
            yield Outgoing(target, Delta.of(*deltas))

    def _in_order(self, find: Find) -> list[tuple[str, _Key, tuple[int, TopicEntry, float]]]:
        found = []
        for target, keys in self._waiting.items():
            for key in tuple(keys):
                held = find(*key)
                if held is None:
                    del keys[key]
                else:
                    found.append((target, key, held))
        found.sort(key=lambda item: (item[1][1], -item[2][2]))
        return found
